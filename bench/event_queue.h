#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lycheefield::bench {

/// Virtual clock: runs functions in order of time, and functions of equal times in order of insertion.
class EventQueue {
public:
    using Function = std::function<void()>;

    TimePoint now() const { return m_now; }
    void at(TimePoint, Function);
    void after(Duration, Function);
    /// Runs the next event. Returns false when the queue is empty.
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
