#pragma once

#include "base/random_source.h"
#include "base/time.h"

#include <memory>

namespace lycheefield {

/// Exponential back-off with jitter: each failure doubles the longest delay up to a limit, and the delay is
/// drawn uniformly between half of the longest delay and all of it. Not thread safe.
class Backoff {
public:
    /// Precondition: 0 < initial <= max.
    Backoff(Duration initial, Duration max, std::unique_ptr<RandomSource>);

    /// Returns the delay before the next retry.
    Duration onFailure();
    /// Returns a delay as after a first failure, and counts no failure.
    Duration firstDelay() { return draw(m_initial); }
    void onSuccess();
    /// Failures since the last success.
    unsigned int failures() const { return m_failures; }

private:
    Duration draw(Duration longest);

    Duration m_initial;
    Duration m_max;
    Duration m_currentMax;
    unsigned int m_failures = 0;
    std::unique_ptr<RandomSource> m_random;
};

}
