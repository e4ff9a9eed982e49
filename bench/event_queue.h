#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lycheefield::bench {

/// Runs functions in the order of their virtual times; equal times run in the order of insertion.
class EventQueue {
public:
    using Function = std::function<void()>;

    TimePoint now() const { return m_now; }
    void at(TimePoint, Function);
    void after(Duration, Function);
    /// Runs the next event; false when there is none.
    bool step();

private:
    struct Event {
        TimePoint time;
        std::uint64_t order;
        Function run;
        bool operator<(const Event& other) const { return time != other.time ? time > other.time : order > other.order; }
    };

    TimePoint m_now { Duration(1) };
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
};

}
