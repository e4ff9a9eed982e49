#include "dispatch/server_relay.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

constexpr std::uint32_t standbyWarmConnections = 1;
/// A standby keeps the connections that it opened for work this long after the last leg.
constexpr Duration standbyLinger = 5s;
/// A server that does not answer this long after the leg's deadline is hung: the connection is closed.
constexpr Duration hangGrace = 300ms;
/// For an order the wait is longer, since its answer tells whether it ran.
constexpr Duration hangGraceOfOrder = 1s;

TimePoint hungAt(const RunningLeg& running)
{
    const auto isOrder = running.leg.order->kind == RequestKind::Order;
    return running.leg.deadline() + (isOrder ? hangGraceOfOrder : hangGrace);
}

}

Duration ServerRelay::expectedWait(const RelayLeg& leg, TimePoint now) const
{
    const auto limit = std::max(1U, concurrency(now));
    const auto pause = std::max(Duration {}, m_limit.backoffUntil() - now);
    const auto ahead = m_queue.countAhead(leg.order->priority, leg.deadline());
    if (ahead == 0 && m_running.size() < limit)
        return pause;
    const auto byWork = m_serviceTime.mean() * static_cast<int>(ahead + 1) / static_cast<int>(limit);
    return pause + std::max(byWork, m_queue.waitForTurn(leg.order->priority, leg.deadline()));
}

bool ServerRelay::canFinishInTime(const RelayLeg& leg, TimePoint now) const
{
    if (leg.deadline() == never)
        return true;
    // An idle server always gets a leg, or an estimate that is too long would never be corrected.
    if (m_running.empty() && m_queue.isEmpty())
        return true;
    if (m_queue.isTurnDue(leg.order->priority, now))
        return true;
    return now + expectedWait(leg, now) + minTimeLeft() <= leg.deadline();
}

Duration ServerRelay::minTimeLeft() const
{
    return m_shared.settings.admission ? m_serviceTime.high() : Duration {};
}

std::uint32_t ServerRelay::concurrency(TimePoint now) const
{
    const auto limit = m_limit.at(now);
    return m_ejection.state() == Ejection::State::InUse ? limit : std::min(limit, 1U);
}

void ServerRelay::dropDue(TimePoint now, RelayActions& actions)
{
    // The last feasible moment has passed: the answer would come too late.
    const auto due = m_running.empty() ? now : now + minTimeLeft();
    for (const auto& leg : m_queue.removeDue(due))
        refuse(leg, LegOutcome::Expired, "the deadline passed in the queue", now, actions);
    if (m_probe && m_probe->deadline() <= now)
        refuse(*std::exchange(m_probe, std::nullopt), LegOutcome::Expired, "the deadline passed before the server was free", now, actions);
}

void ServerRelay::cancelOverdue(TimePoint now, RelayActions& actions)
{
    std::vector<ConnectionId> hung;
    for (auto& [id, running] : m_running) {
        if (running.leg.deadline() > now)
            continue;
        running.isOverdue = true;
        cancelAtServer(id, running, actions);
        if (hungAt(running) <= now)
            hung.push_back(id);
    }
    for (const auto id : hung) {
        actions.push_back(CloseConnection { m_server.name, id });
        m_pool.onLost(id, now);
        const auto running = std::move(m_running.extract(id).mapped());
        if (running.leg.isProbe)
            m_shared.crashes.onProbeEnded(running.leg.order->fingerprint);
        recordFailure(running.leg.order->fingerprint, now, actions);
        finish(running, resultFor(running.leg, LegOutcome::Lost, "the server did not answer"), now, actions);
    }
}

void ServerRelay::dispatch(TimePoint now, RelayActions& actions)
{
    dropDue(now, actions);
    if (m_probe || (m_running.size() == 1 && m_running.begin()->second.leg.isProbe)) {
        dispatchProbe(now, actions);
    } else {
        while (m_running.size() < concurrency(now) && m_pool.hasIdle()) {
            auto leg = m_queue.pop(now);
            if (!leg)
                break;
            if (m_shared.settings.quarantine && m_shared.crashes.isBarred(leg->order->fingerprint, now))
                refuse(*leg, LegOutcome::Quarantined, "its content crashed a server", now, actions);
            else
                send(std::move(*leg), now, actions);
        }
    }
    m_nextLimitChange = m_limit.nextChange(now);
    m_pool.balance(wantedConnections(now), now, actions);
    if (m_pool.size() == 0 && inFlight() > 0 && m_role == RelayRole::None)
        refuseWaiting(LegOutcome::NotHeld, "this relay no longer holds the server", now, actions);
}

void ServerRelay::dispatchProbe(TimePoint now, RelayActions& actions)
{
    if (m_probe && m_running.empty() && concurrency(now) > 0 && m_pool.hasIdle())
        send(std::move(*std::exchange(m_probe, std::nullopt)), now, actions);
}

void ServerRelay::send(RelayLeg leg, TimePoint now, RelayActions& actions)
{
    const auto id = m_pool.takeIdle();
    WorkOrder work = *leg.order;
    work.legs = { leg.leg };
    ++m_shared.counters.sent;
    m_running.emplace(id, RunningLeg { std::move(leg), now });
    actions.push_back(RunLeg { m_server.name, id, std::move(work) });
}

std::uint32_t ServerRelay::wantedConnections(TimePoint now) const
{
    const auto busy = static_cast<std::uint32_t>(m_running.size());
    const auto mayReturn = m_drainSigns.isUnreachable() && !m_drainSigns.isLeaving();
    if (mayReturn && m_role != RelayRole::None)
        return std::max(busy, 1U);
    if (m_isDraining)
        return busy;
    switch (m_role) {
    case RelayRole::None:
        return std::min(m_pool.size(), std::min<std::uint32_t>(m_server.slots, static_cast<std::uint32_t>(inFlight())));
    case RelayRole::Standby:
        return inFlight() > 0 || (m_lastLeg != TimePoint {} && now - m_lastLeg < standbyLinger) ? m_server.slots : standbyWarmConnections;
    case RelayRole::Owner:
        return m_server.slots;
    }
    return 0;
}

void ServerRelay::onTimer(TimePoint now, RelayActions& actions)
{
    cancelOverdue(now, actions);
    if (m_ejection.onTime(now))
        actions.push_back(AnnounceServer { state() });
    m_drainSigns.onTime(now);
    afterDrainSign(now, actions);
    dispatch(now, actions);
}

TimePoint ServerRelay::nextWake() const
{
    auto wake = std::min({ m_pool.retryAt(), m_ejection.until(), m_drainSigns.lapsesAt() });
    if (!m_queue.isEmpty() && m_queue.nextDeadline() != never)
        wake = std::min(wake, m_queue.nextDeadline() - (m_running.empty() ? Duration {} : minTimeLeft()));
    if (m_probe)
        wake = std::min(wake, m_probe->deadline());
    if (!m_queue.isEmpty() || m_probe)
        wake = std::min(wake, m_nextLimitChange);
    for (const auto& [id, running] : m_running) {
        if (running.leg.deadline() != never)
            wake = std::min(wake, running.isOverdue ? hungAt(running) : running.leg.deadline());
    }
    if (m_role == RelayRole::Standby && m_pool.size() > standbyWarmConnections && m_pool.hasIdle() && inFlight() == 0)
        wake = std::min(wake, m_lastLeg + standbyLinger);
    return wake;
}

}
