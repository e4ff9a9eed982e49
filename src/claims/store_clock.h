#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// Estimates the store's clock from the time in the store's last response and the process's monotonic clock.
/// The age of claims depends on this clock only, never on the wall clocks of the instances. A response may be
/// old when it arrives and has a resolution of one second, so the clock gives a lower and an upper bound. Not
/// thread safe.
class StoreClock {
public:
    /// Sets the store's time from the response to a call that was issued and received at these times.
    void update(std::int64_t storeSeconds, TimePoint issued, TimePoint received)
    {
        m_seconds = storeSeconds;
        m_issued = issued;
        m_received = received;
    }
    /// Lower bound of the store's time in seconds since the Unix epoch; 0 while the time is unknown.
    std::int64_t earliestAt(TimePoint now) const { return isKnown() ? m_seconds + wholeSeconds(now - m_received) : 0; }
    /// Upper bound of the store's time in seconds since the Unix epoch; 0 while the time is unknown. The 2 seconds on
    /// top cover the fractions cut off in the store's time and in the elapsed time.
    std::int64_t latestAt(TimePoint now) const { return isKnown() ? m_seconds + wholeSeconds(now - m_issued) + 2 : 0; }

private:
    bool isKnown() const { return m_seconds != 0; }
    static std::int64_t wholeSeconds(Duration duration) { return std::chrono::duration_cast<std::chrono::seconds>(duration).count(); }

    std::int64_t m_seconds = 0;
    TimePoint m_issued {};
    TimePoint m_received {};
};

}
