#include "dispatch/server_relay.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

ServerRelay::ServerRelay(const Server& server, RelayRole role, RelaySharedState& shared)
    : m_server(server)
    , m_shared(shared)
    , m_role(role)
    , m_pool(server.name, shared.connections)
    , m_limit(server.slots)
{
    m_pool.setLimit(workConnectionLimit(server.connectionCap, shared.holdersOfServer, shared.settings));
    m_drainSignals.setLeaving(server.leaving);
    m_isDraining = server.leaving;
    setVersions(server.versions);
    serverGroup().join(server.name);
    serverGroup().setOutOfUse(server.name, m_isDraining);
}

ServerRelay::~ServerRelay()
{
    serverGroup().leave(m_server.name);
    if (serverGroup().isEmpty())
        m_shared.groups.erase(m_server.service);
}

void ServerRelay::onTables(const Server& server, RelayRole role, TimePoint now, RelayActions& actions)
{
    // The versions that the server itself reported last stay in force until the catalog's list changes.
    if (server.versions != m_server.versions)
        setVersions(server.versions);
    m_server = server;
    m_role = role;
    m_pool.setLimit(workConnectionLimit(server.connectionCap, m_shared.holdersOfServer, m_shared.settings));
    m_limit.setSlots(server.slots);
    m_drainSignals.setLeaving(server.leaving);
    updateDraining(now, actions);
    dispatch(now, actions);
}

void ServerRelay::onRemoved(TimePoint now, RelayActions& actions)
{
    m_role = RelayRole::None;
    refuseWaiting(LegOutcome::Refused, "the server was removed from the catalog before the leg was sent; choose another replica", now, actions);
    dispatch(now, actions);
}

void ServerRelay::onLeg(RelayLeg leg, TimePoint now, RelayActions& actions)
{
    m_lastLegAt = now;
    if (auto result = checkAdmission(leg, now, actions)) {
        refuse(leg, result->outcome, std::move(result->detail), now, actions);
        return;
    }
    m_shared.legs.emplace(leg.key(), m_server.name);
    if (leg.isProbe)
        m_probe = std::move(leg);
    else
        m_queue.push(std::move(leg), now);
    dispatch(now, actions);
}

std::optional<LegResult> ServerRelay::checkAdmission(RelayLeg& leg, TimePoint now, RelayActions& actions)
{
    if (m_role == RelayRole::None)
        return resultFor(leg, LegOutcome::NotHeld, "this relay does not hold the server; send the leg to another relay");
    if (m_isDraining)
        return resultFor(leg, LegOutcome::Refused, "the server is draining and takes no new legs; choose another replica");
    if (m_pool.limit() == 0)
        return resultFor(leg, LegOutcome::Refused, "the server's connection cap leaves no work connection for this relay; raise the cap");
    if (m_pool.lacksResources())
        return resultFor(leg, LegOutcome::NotHeld, "this relay's process lacks descriptors, ports or memory for a connection to the server; send the leg to another relay");
    if (leg.deadline() <= now)
        return resultFor(leg, LegOutcome::Expired, "the deadline had passed when the leg arrived; send it with a later deadline");
    if (m_shared.settings.admission && !canFinishInTime(leg, now))
        return resultFor(leg, LegOutcome::Expired, "the leg cannot finish before its deadline; retry after the time given or choose another replica");
    if (m_queue.size() >= m_shared.settings.maxQueuePerServer && !displaceLowerPriority(leg, now, actions))
        return resultFor(leg, LegOutcome::Refused, "the queue for the server is full; retry after the time given or choose another replica");
    if (!m_shared.settings.quarantine)
        return std::nullopt;
    if (m_probe && m_shared.crashes.isBlocked(leg.order->fingerprint, now))
        return resultFor(leg, LegOutcome::Quarantined, "the content is suspected of crashing a server, and another probe waits for this server; retry later");
    switch (m_shared.crashes.admit(leg.order->fingerprint, { m_server.name, leg.leg.shard }, now, actions)) {
    case ContentAdmission::Refuse:
        return resultFor(leg, LegOutcome::Quarantined, "the content is suspected of crashing a server or is quarantined; retry later");
    case ContentAdmission::RunAsProbe:
        leg.isProbe = true;
        break;
    case ContentAdmission::Run:
        break;
    }
    return std::nullopt;
}

bool ServerRelay::displaceLowerPriority(const RelayLeg& leg, TimePoint now, RelayActions& actions)
{
    const auto* last = m_queue.last();
    if (!last || last->order->priority <= leg.order->priority)
        return false;
    if (const auto displaced = m_queue.remove(last->key()))
        refuse(*displaced, LegOutcome::Refused, "a leg of higher priority displaced this one from the full queue for the server; retry after the time given", now, actions);
    return true;
}

void ServerRelay::onCancel(const LegKey& key, TimePoint now, RelayActions& actions)
{
    auto leg = m_queue.remove(key);
    if (!leg && m_probe && m_probe->key() == key)
        leg = std::exchange(m_probe, std::nullopt);
    if (leg) {
        ++m_shared.counters.cancelledInQueue;
        refuse(*leg, LegOutcome::Cancelled, "the leg was cancelled while queued and was not sent", now, actions);
        dispatch(now, actions);
        return;
    }
    for (auto& [id, running] : m_running) {
        if (running.leg.key() == key)
            cancelAtServer(id, running, actions);
    }
}

void ServerRelay::cancelAtServer(ConnectionId id, RunningLeg& running, RelayActions& actions)
{
    if (std::exchange(running.isCancelled, true))
        return;
    ++m_shared.counters.cancelledAtServer;
    actions.push_back(CancelAtServer { m_server.name, id, running.leg.key() });
}

void ServerRelay::onEntryDisconnected(const InstanceName& entry, TimePoint now, RelayActions& actions)
{
    auto waiting = m_queue.removeByEntry(entry);
    if (m_probe && m_probe->order->entry == entry)
        waiting.push_back(std::move(*std::exchange(m_probe, std::nullopt)));
    for (const auto& leg : waiting) {
        ++m_shared.counters.cancelledInQueue;
        m_shared.legs.erase(leg.key());
        if (leg.isProbe)
            m_shared.crashes.onProbeEnded(leg.order->fingerprint);
    }
    for (auto& [id, running] : m_running) {
        if (running.leg.order->entry != entry)
            continue;
        running.isEntryDisconnected = true;
        cancelAtServer(id, running, actions);
    }
    dispatch(now, actions);
}

ServerState ServerRelay::state() const
{
    ServerState state;
    state.server = m_server.name;
    state.inFlight = static_cast<std::uint32_t>(m_running.size());
    state.queued = static_cast<std::uint32_t>(m_queue.size());
    state.queuedBy = m_queue.counts();
    state.slots = m_server.slots;
    state.versions = m_versions;
    state.draining = m_isDraining;
    state.ejected = m_ejection.state() == Ejection::State::Ejected;
    state.recentLatency = m_serviceTime.mean();
    return state;
}

void ServerRelay::setVersions(std::vector<IndexVersion> versions)
{
    std::sort(versions.begin(), versions.end());
    m_versions = std::move(versions);
}

}
