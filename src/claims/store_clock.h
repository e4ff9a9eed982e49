#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// The store's clock as its last answer told it, carried on by the process's own. It ages claims; the
/// instances' wall clocks play no part. Not thread safe.
class StoreClock {
public:
    void note(std::int64_t storeSeconds, TimePoint at)
    {
        m_seconds = storeSeconds;
        m_at = at;
    }
    /// Seconds since the Unix epoch; 0 when the store told no time yet.
    std::int64_t secondsAt(TimePoint now) const
    {
        return m_seconds == 0 ? 0 : m_seconds + std::chrono::duration_cast<std::chrono::seconds>(now - m_at).count();
    }

private:
    std::int64_t m_seconds = 0;
    TimePoint m_at {};
};

}
