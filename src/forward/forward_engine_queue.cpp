#include "forward/forward_engine.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// A leg without an available server or without budget is retried after this time.
constexpr Duration retryPeriod = 15ms;
/// A caller that comes again has the time that it has left now, and the queue may take this share of it.
constexpr double retryWaitShare = 0.5;

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
    if (!mayRunContent(request, now))
        return;
    auto& queue = m_queues[leg.service];
    const auto waiting = waitingLeg(request, index);
    if (leg.waitsSince == never) {
        leg.waitsSince = now;
        leg.expectedWait = m_waits.expectedWait(leg.service, queue.countAhead(waiting), now);
    }
    queue.insert(waiting);
}

void ForwardEngine::recordLegSent(Request& request, std::size_t index, TimePoint now)
{
    auto& leg = request.legs[index];
    m_waits.recordSent(leg.service);
    if (const auto waitsSince = std::exchange(leg.waitsSince, never); waitsSince != never)
        m_waits.recordWait(leg.service, waitingLeg(request, index).priority(), leg.expectedWait, now - waitsSince, now);
    if (const auto queue = m_queues.find(leg.service); queue != m_queues.end())
        queue->second.recordSent(waitingLeg(request, index));
    dequeue(request, index);
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
    return context.medianTime * static_cast<Duration::rep>(1 + it->second.countAhead(waitingLeg(request, index)));
}

std::optional<Duration> ForwardEngine::hopelessTime(const Request& request, std::size_t index, TimePoint now) const
{
    const auto& service = request.legs[index].service;
    const auto queue = m_queues.find(service);
    if (queue == m_queues.end())
        return std::nullopt;
    const auto leg = waitingLeg(request, index);
    const auto maxTime = Duration(request.deadline - now);
    // The exact place costs a walk through the queue.
    const auto longest = m_waits.expected(service, leg.priority(), queue->second.size(), now);
    if (!longest || *longest <= maxTime)
        return std::nullopt;
    const auto expected = m_waits.expected(service, leg.priority(), queue->second.countAhead(leg), now);
    return expected && *expected > maxTime ? expected : std::nullopt;
}

bool ForwardEngine::isHopeless(Request& request, TimePoint now) const
{
    if (request.request.isPart() || m_queues.empty())
        return false;
    std::vector<Duration> times;
    for (std::size_t i = 0; i < request.legs.size(); ++i) {
        if (const auto time = hopelessTime(request, i, now); time && m_pool.hasServers(request.legs[i].service))
            times.push_back(*time);
    }
    // Shed legs are sent when they are needed.
    const auto usable = static_cast<std::size_t>(std::count_if(request.legs.begin(), request.legs.end(), [&](const Leg& leg) { return m_pool.hasServers(leg.service); }));
    if (times.empty() || usable - times.size() >= request.needed())
        return false;
    std::sort(times.begin(), times.end());
    const auto missing = request.needed() - (usable - times.size());
    const auto left = request.deadline - now;
    request.refusedWait = std::max(retryPeriod, times[missing - 1] - scaled(left, retryWaitShare));
    return true;
}

bool ForwardEngine::endHopelessLeg(Request& request, std::size_t index, TimePoint now)
{
    auto& leg = request.legs[index];
    if (request.route().isSearch() || leg.arrivals > 0 || !isHopeless(request, now))
        return false;
    ++m_counters.refusedEarly;
    endLeg(request, leg, LegStage::Missing);
    return true;
}

}
