#pragma once

#include "base/time.h"

#include <cstddef>

namespace lycheefield::soak {

/// Counts how often the loop of the test bed runs late, which gateways see as a slow store and slow servers. No I/O. Not thread safe.
class LoopLateness {
public:
    /// Records that a timer which was due then has run now. Returns whether it ran late, by more than noticedLateness.
    bool onTimer(TimePoint dueAt, TimePoint now);
    std::size_t count() const { return m_count; }
    /// Of all timers, also those that count as in time.
    Duration greatest() const { return m_greatest; }

private:
    std::size_t m_count = 0;
    Duration m_greatest {};
};

}
