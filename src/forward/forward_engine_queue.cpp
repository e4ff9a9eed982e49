#include "forward/forward_engine.h"

namespace lycheefield {

namespace {

/// A leg without an available server or without budget is retried after this time.
constexpr Duration retryPeriod = 15ms;

}

WaitingLeg ForwardEngine::waitingLeg(const Request& request, std::size_t index)
{
    return { request.request.teamRank, request.route().rank, request.request.team, request.request.number, index };
}

void ForwardEngine::enqueue(Request& request, std::size_t index, TimePoint now)
{
    auto& leg = request.legs[index];
    leg.stage = LegStage::Unsent;
    leg.hedgeAt = now + (awaitsSimultaneousCrashes(request, now) ? simultaneousCrashTime : retryPeriod);
    // A leg that waits for its content's probe must not keep others from the next free server.
    if (mayRunContent(request, now))
        m_queues[leg.service].insert(waitingLeg(request, index));
}

void ForwardEngine::dequeue(const Request& request, std::size_t index)
{
    const auto it = m_queues.find(request.legs[index].service);
    if (it == m_queues.end())
        return;
    it->second.erase(waitingLeg(request, index));
    if (it->second.isEmpty())
        m_queues.erase(it);
}

bool ForwardEngine::sendNextQueued(const ServiceName& service, TimePoint now, ForwardActions& actions)
{
    const auto it = m_queues.find(service);
    if (it == m_queues.end())
        return false;
    const auto next = it->second.next();
    auto* request = find(next.request);
    if (!request || !trySend(*request, next.leg, false, now, actions))
        return false;
    schedule(*request, now);
    return true;
}

void ForwardEngine::sendQueuedAhead(const Request& request, std::size_t index, TimePoint now, ForwardActions& actions)
{
    if (request.request.team.value().empty())
        return;
    const auto own = waitingLeg(request, index);
    const auto& service = request.legs[index].service;
    for (auto it = m_queues.find(service); it != m_queues.end() && !it->second.goesFirst(own); it = m_queues.find(service)) {
        if (!sendNextQueued(service, now, actions))
            return;
    }
}

Duration ForwardEngine::expectedWait(const Request& request, std::size_t index, const PickContext& context) const
{
    const auto it = m_queues.find(request.legs[index].service);
    if (it == m_queues.end())
        return context.medianTime;
    const auto ahead = request.request.team.value().empty() ? it->second.size() : it->second.countAhead(waitingLeg(request, index));
    return context.medianTime * static_cast<Duration::rep>(1 + ahead);
}

}
