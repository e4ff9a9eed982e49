#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lycheefield::fault_matrix {

/// Virtual clock: runs functions in order of time, and functions of equal times in order of insertion.
class Timeline {
public:
    TimePoint now() const { return m_now; }

    void at(TimePoint time, std::function<void()> run) { m_events.push({ std::max(time, m_now), m_order++, std::move(run) }); }
    void after(Duration delay, std::function<void()> run) { at(m_now + delay, std::move(run)); }

    /// Runs all functions due up to and including `end`, and sets the clock to `end`.
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.run();
        }
        m_now = end;
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event& other) const { return time != other.time ? time > other.time : order > other.order; }
    };

    TimePoint m_now { std::chrono::seconds(1) };
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
};

}
