#include "bench/event_queue.h"

#include <algorithm>

namespace lycheefield::bench {

void EventQueue::at(TimePoint time, Function run)
{
    m_events.push({ std::max(time, m_now), m_order++, std::move(run) });
}

void EventQueue::after(Duration delay, Function run)
{
    at(m_now + delay, std::move(run));
}

bool EventQueue::step()
{
    if (m_events.empty())
        return false;
    m_now = m_events.top().time;
    auto run = std::move(const_cast<Event&>(m_events.top()).run); // The move leaves the event's key intact, and pop() removes the event next.
    m_events.pop();
    run();
    return true;
}

}
