#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// Decides when a store that keeps naming another epoch than the latest one known is to be believed, because what named the latest one
/// must have been wrong.
///
/// A single response may be late or come from another replica. Several in a row, over some time, without one of the latest epoch in
/// between, come from the store as it is. Does no I/O. Not thread safe.
class EpochEvidence {
public:
    /// Records a response that named that epoch instead of the latest one known. Returns whether the epoch is to be believed from now on.
    bool record(std::uint64_t epoch, TimePoint now);
    /// Records a response of the latest epoch.
    void clear() { m_responses = 0; }

    static constexpr std::uint32_t neededResponses = 3;
    static constexpr Duration neededTime = std::chrono::seconds(1);

private:
    std::uint64_t m_epoch = 0;
    std::uint32_t m_responses = 0; ///< In a row that named m_epoch.
    TimePoint m_since {};
};

}
