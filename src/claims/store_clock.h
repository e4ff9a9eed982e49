#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// The store's clock as its last answer told it, carried on by the process's own. It ages claims; the
/// instances' wall clocks play no part. An answer may be old when it arrives, and tells whole seconds,
/// so the clock is known only to lie between two bounds. Not thread safe.
class StoreClock {
public:
    /// The store told this time in its answer to a call.
    void note(std::int64_t storeSeconds, TimePoint issued, TimePoint answered)
    {
        m_seconds = storeSeconds;
        m_issued = issued;
        m_answered = answered;
    }
    /// Seconds since the Unix epoch that the store's clock has surely reached; 0 when it told no time yet.
    std::int64_t earliestAt(TimePoint now) const { return isTold() ? m_seconds + wholeSeconds(now - m_answered) : 0; }
    /// Seconds that it has surely not passed; 0 when it told no time yet.
    std::int64_t latestAt(TimePoint now) const { return isTold() ? m_seconds + wholeSeconds(now - m_issued) + 2 : 0; }

private:
    bool isTold() const { return m_seconds != 0; }
    static std::int64_t wholeSeconds(Duration duration) { return std::chrono::duration_cast<std::chrono::seconds>(duration).count(); }

    std::int64_t m_seconds = 0;
    TimePoint m_issued {};
    TimePoint m_answered {};
};

}
