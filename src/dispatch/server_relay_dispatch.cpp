#include "dispatch/server_relay.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Connections that a standby keeps open without work.
constexpr std::uint32_t standbyWarmConnections = 1;
/// How long after it last took a leg a standby keeps the connections that it opened for work.
constexpr Duration standbyLingerTime = 5s;
/// A server that does not respond this long after a leg's deadline counts as hung: the connection is closed.
constexpr Duration hangGrace = 300ms;
/// For an order the relay waits longer, because only the response tells whether the order ran.
constexpr Duration orderHangGrace = 1s;

TimePoint hungAt(const RunningLeg& running)
{
    const auto isOrder = running.leg.order->kind == RequestKind::Order;
    return running.leg.deadline() + (isOrder ? orderHangGrace : hangGrace);
}

}

Duration ServerRelay::expectedWait(const RelayLeg& leg, TimePoint now) const
{
    const auto limit = std::max(1U, concurrency(now));
    const auto backoff = std::max(Duration {}, m_limit.backoffUntil() - now);
    const auto ahead = m_queue.countAhead(leg.order->priority, leg.deadline());
    if (ahead == 0 && m_running.size() < limit)
        return backoff;
    const auto byServiceTime = m_serviceTime.mean() * static_cast<int>(ahead + 1) / static_cast<int>(limit);
    return backoff + std::max(byServiceTime, m_queue.waitForTurn(leg.order->priority, leg.deadline()));
}

bool ServerRelay::canFinishInTime(const RelayLeg& leg, TimePoint now) const
{
    if (leg.deadline() == never)
        return true;
    // An idle server always gets a leg; otherwise too long an estimate would never be corrected.
    if (m_running.empty() && m_queue.isEmpty())
        return true;
    if (m_queue.isTurnDue(leg.order->priority, now))
        return true;
    return now + expectedWait(leg, now) + minTimeLeft() <= leg.deadline();
}

Duration ServerRelay::minTimeLeft() const
{
    return m_shared.settings.admission ? m_serviceTime.highEstimate() : Duration {};
}

std::uint32_t ServerRelay::concurrency(TimePoint now) const
{
    const auto limit = m_limit.at(now);
    return m_ejection.state() == Ejection::State::InUse ? limit : std::min(limit, 1U);
}

void ServerRelay::dropExpired(TimePoint now, RelayActions& actions)
{
    // A busy server gets no leg that it would answer too late. An idle server may run any leg until its deadline, as in canFinishInTime().
    const auto cutoff = m_running.empty() ? now : now + minTimeLeft();
    for (const auto& leg : m_queue.removeExpired(cutoff))
        refuse(leg, LegOutcome::Expired, "the leg waited in the queue until it could no longer finish before its deadline, and was not sent; send it with a longer deadline", now, actions);
    if (m_probe && m_probe->deadline() <= now)
        refuse(*std::exchange(m_probe, std::nullopt), LegOutcome::Expired, "the deadline passed before the server was free to run the probe alone; send the leg with a longer deadline", now, actions);
}

void ServerRelay::cancelExpired(TimePoint now, RelayActions& actions)
{
    std::vector<ConnectionId> hung;
    for (auto& [id, running] : m_running) {
        if (running.leg.deadline() > now)
            continue;
        running.isExpired = true;
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
        finish(running, resultFor(running.leg, LegOutcome::Lost, "the server did not respond by the end of the grace period after the deadline; the relay closed the connection"), now, actions);
    }
}

void ServerRelay::dispatch(TimePoint now, RelayActions& actions)
{
    dropExpired(now, actions);
    if (m_probe || (m_running.size() == 1 && m_running.begin()->second.leg.isProbe)) {
        dispatchProbe(now, actions);
    } else {
        while (m_running.size() < concurrency(now) && m_pool.hasIdle()) {
            auto leg = m_queue.pop(now);
            if (!leg)
                break;
            if (m_shared.settings.quarantine && m_shared.crashes.isBlocked(leg->order->fingerprint, now))
                refuse(*leg, LegOutcome::Quarantined, "the content became suspected of crashing a server while the leg was queued; retry later", now, actions);
            else
                send(std::move(*leg), now, actions);
        }
    }
    m_nextLimitChange = m_limit.nextChange(now);
    m_pool.resize(wantedConnections(now), now, actions);
    if (m_pool.size() == 0 && inFlight() > 0 && m_role == RelayRole::None)
        refuseWaiting(LegOutcome::NotHeld, "this relay no longer holds the server; send the leg to another relay", now, actions);
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
    actions.push_back(SendLeg { m_server.name, id, std::move(work) });
}

std::uint32_t ServerRelay::wantedConnections(TimePoint now) const
{
    const auto busy = static_cast<std::uint32_t>(m_running.size());
    const auto mayRestart = m_drainSignals.isUnreachable() && !m_drainSignals.isLeaving();
    if (mayRestart && m_role != RelayRole::None)
        return std::max(busy, 1U);
    if (m_isDraining)
        return busy;
    switch (m_role) {
    case RelayRole::None:
        return std::min(m_pool.size(), std::min<std::uint32_t>(m_server.slots, static_cast<std::uint32_t>(inFlight())));
    case RelayRole::Standby:
        return inFlight() > 0 || (m_lastLegAt != TimePoint {} && now - m_lastLegAt < standbyLingerTime) ? m_server.slots : standbyWarmConnections;
    case RelayRole::Owner:
        return m_server.slots;
    }
    return 0;
}

void ServerRelay::onTimer(TimePoint now, RelayActions& actions)
{
    cancelExpired(now, actions);
    if (m_ejection.onTimer(now))
        actions.push_back(AnnounceServerState { state() });
    m_drainSignals.onTimer(now);
    updateDraining(now, actions);
    dispatch(now, actions);
}

TimePoint ServerRelay::nextWake() const
{
    auto wake = std::min({ m_pool.retryAt(), m_ejection.until(), m_drainSignals.nextExpiry() });
    if (!m_queue.isEmpty() && m_queue.nextDeadline() != never)
        wake = std::min(wake, m_queue.nextDeadline() - (m_running.empty() ? Duration {} : minTimeLeft()));
    if (m_probe)
        wake = std::min(wake, m_probe->deadline());
    if (!m_queue.isEmpty() || m_probe)
        wake = std::min(wake, m_nextLimitChange);
    for (const auto& [id, running] : m_running) {
        if (running.leg.deadline() != never)
            wake = std::min(wake, running.isExpired ? hungAt(running) : running.leg.deadline());
    }
    if (m_role == RelayRole::Standby && m_pool.size() > standbyWarmConnections && m_pool.hasIdle() && inFlight() == 0)
        wake = std::min(wake, m_lastLegAt + standbyLingerTime);
    return wake;
}

}
