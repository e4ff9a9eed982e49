#pragma once

#include "base/random_source.h"
#include "base/time.h"

#include <memory>

namespace lycheefield {

/// Delays between tries: each failure doubles the longest delay, and the delay is drawn uniformly
/// between half of it and the whole. Not thread safe.
class Backoff {
public:
    /// Precondition: 0 < first <= most.
    Backoff(Duration first, Duration most, std::unique_ptr<RandomSource>);

    /// The delay before the next try.
    Duration onFailure();
    void onSuccess();
    /// Failures since the last success.
    unsigned int failures() const { return m_failures; }

private:
    Duration m_first;
    Duration m_most;
    Duration m_next;
    unsigned int m_failures = 0;
    std::unique_ptr<RandomSource> m_random;
};

}
