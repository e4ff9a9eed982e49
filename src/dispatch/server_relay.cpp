#include "dispatch/server_relay.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Weight of the newest value in the moving average of latency: 1 / latencyWeight.
constexpr int latencyWeight = 8;
constexpr std::uint32_t standbyWarmConnections = 1;

}

ServerRelay::ServerRelay(const Server& server, RelayShared& shared)
    : m_server(server)
    , m_shared(shared)
    , m_pool(server.name, shared.connections)
{
    m_pool.setLimit(workConnectionLimit(server.connectionCap, shared.settings));
    m_isDraining = server.leaving;
    setVersions(server.versions);
}

void ServerRelay::setServer(const Server& server, TimePoint now, RelayActions& actions)
{
    // What the server itself said last stands until the catalog says something new.
    if (server.versions != m_server.versions)
        setVersions(server.versions);
    m_server = server;
    m_pool.setLimit(workConnectionLimit(server.connectionCap, m_shared.settings));
    if (server.leaving)
        setDraining(true, now, actions);
    dispatch(now, actions);
}

void ServerRelay::setRole(RelayRole role, TimePoint now, RelayActions& actions)
{
    m_role = role;
    dispatch(now, actions);
}

void ServerRelay::onLeg(RelayLeg leg, TimePoint now, RelayActions& actions)
{
    if (m_role == RelayRole::None)
        return refuse(leg, LegOutcome::Refused, "this relay does not hold the server", now, actions);
    if (m_isDraining)
        return refuse(leg, LegOutcome::Refused, "the server is draining", now, actions);
    if (leg.deadline() <= now)
        return refuse(leg, LegOutcome::Expired, "the deadline has passed", now, actions);
    if (m_pool.limit() == 0)
        return refuse(leg, LegOutcome::Refused, "the server's connection cap leaves no connection", now, actions);
    if (m_queue.size() >= m_shared.settings.maxQueuePerServer)
        return refuse(leg, LegOutcome::Refused, "the server's queue is full", now, actions);
    m_shared.legs.emplace(leg.key(), m_server.name);
    m_queue.push(std::move(leg));
    dispatch(now, actions);
}

void ServerRelay::onCancel(const LegKey& key, TimePoint now, RelayActions& actions)
{
    if (const auto leg = m_queue.remove(key)) {
        ++m_shared.counters.cancelledInQueue;
        refuse(*leg, LegOutcome::Cancelled, "cancelled in the queue", now, actions);
        return;
    }
    for (auto& [id, running] : m_running) {
        if (running.isCancelled || running.leg.key() != key)
            continue;
        running.isCancelled = true;
        ++m_shared.counters.cancelledAtServer;
        actions.push_back(CancelAtServer { m_server.name, id, key });
    }
}

void ServerRelay::onEntryLost(const InstanceName& entry, TimePoint now, RelayActions& actions)
{
    for (const auto& leg : m_queue.removeEntry(entry)) {
        ++m_shared.counters.cancelledInQueue;
        m_shared.legs.erase(leg.key());
    }
    for (auto& [id, running] : m_running) {
        if (running.leg.order->entry != entry)
            continue;
        running.isEntryLost = true;
        if (running.isCancelled)
            continue;
        running.isCancelled = true;
        ++m_shared.counters.cancelledAtServer;
        actions.push_back(CancelAtServer { m_server.name, id, running.leg.key() });
    }
    dispatch(now, actions);
}

void ServerRelay::onConnected(ConnectionId id, TimePoint now, RelayActions& actions)
{
    if (!m_pool.onConnected(id)) {
        actions.push_back(CloseConnection { m_server.name, id });
        return;
    }
    dispatch(now, actions);
}

void ServerRelay::onConnectionLost(ConnectionId id, bool bytesHanded, TimePoint now, RelayActions& actions)
{
    m_pool.onLost(id, now);
    const auto it = m_running.find(id);
    if (it != m_running.end()) {
        const auto running = std::move(it->second);
        m_running.erase(it);
        auto result = resultFor(running.leg, bytesHanded ? LegOutcome::Lost : LegOutcome::Refused);
        result.crashed = bytesHanded;
        result.detail = bytesHanded ? "the connection died while the leg ran" : "the connection died before the leg was sent";
        finish(running, std::move(result), now, actions);
    }
    dispatch(now, actions);
}

void ServerRelay::onServerAnswer(ConnectionId id, const ServerAnswer& answer, TimePoint now, RelayActions& actions)
{
    if (!answer.versions.empty())
        setVersions(answer.versions);
    if (answer.draining)
        setDraining(true, now, actions);
    const auto it = m_running.find(id);
    if (it == m_running.end() || it->second.leg.key() != answer.key) {
        ++m_shared.counters.wasted;
        return;
    }
    const auto running = std::move(it->second);
    m_running.erase(it);
    m_pool.release(id);
    auto result = resultFor(running.leg, answer.outcome);
    result.version = answer.version;
    result.epoch = answer.epoch;
    result.batches = answer.batches;
    result.body = answer.body;
    result.retryAfter = answer.retryAfter;
    result.detail = answer.detail;
    finish(running, std::move(result), now, actions);
    dispatch(now, actions);
}

void ServerRelay::onHealth(const HealthReport& report, TimePoint now, RelayActions& actions)
{
    if (!report.versions.empty())
        setVersions(report.versions);
    if (report.draining)
        setDraining(true, now, actions);
    dispatch(now, actions);
}

void ServerRelay::onTimer(TimePoint now, RelayActions& actions)
{
    dispatch(now, actions);
}

TimePoint ServerRelay::nextWake() const
{
    return std::min(m_queue.nextDeadline(), m_pool.retryAt());
}

ServerState ServerRelay::state() const
{
    ServerState state;
    state.server = m_server.name;
    state.inFlight = static_cast<std::uint32_t>(m_running.size());
    state.queued = static_cast<std::uint32_t>(m_queue.size());
    state.slots = m_server.slots;
    state.versions = m_versions;
    state.draining = m_isDraining;
    state.recentLatency = m_latency;
    return state;
}

void ServerRelay::dispatch(TimePoint now, RelayActions& actions)
{
    for (const auto& leg : m_queue.removeDue(now))
        refuse(leg, LegOutcome::Expired, "the deadline passed in the queue", now, actions);
    while (m_running.size() < m_server.slots && m_pool.hasIdle()) {
        auto leg = m_queue.pop();
        if (!leg)
            break;
        send(std::move(*leg), now, actions);
    }
    m_pool.balance(wantedConnections(), now, actions);
    if (m_pool.size() == 0 && !m_queue.isEmpty() && m_role == RelayRole::None)
        refuseAll(m_queue.removeAll(), "this relay no longer holds the server", now, actions);
}

void ServerRelay::send(RelayLeg leg, TimePoint now, RelayActions& actions)
{
    const auto id = m_pool.takeIdle();
    auto work = *leg.order;
    work.legs = { leg.leg };
    ++m_shared.counters.sent;
    m_running.emplace(id, RunningLeg { std::move(leg), now });
    actions.push_back(RunLeg { m_server.name, id, std::move(work) });
}

std::uint32_t ServerRelay::wantedConnections() const
{
    const auto busy = static_cast<std::uint32_t>(m_running.size());
    if (m_isDraining)
        return busy;
    const auto useful = std::min(m_server.slots, busy + static_cast<std::uint32_t>(m_queue.size()));
    switch (m_role) {
    case RelayRole::None:
        return std::min(useful, m_pool.size());
    case RelayRole::Standby:
        return std::max(useful, standbyWarmConnections);
    case RelayRole::Owner:
        return m_server.slots;
    }
    return 0;
}

void ServerRelay::refuse(const RelayLeg& leg, LegOutcome outcome, const std::string& detail, TimePoint now, RelayActions& actions)
{
    if (outcome == LegOutcome::Expired)
        ++m_shared.counters.expired;
    else if (outcome == LegOutcome::Refused)
        ++m_shared.counters.refused;
    m_shared.legs.erase(leg.key());
    auto result = resultFor(leg, outcome);
    result.queueTime = now - leg.arrived;
    result.detail = detail;
    actions.push_back(ReturnResult { leg.order->entry, std::move(result) });
}

void ServerRelay::refuseAll(const std::vector<RelayLeg>& legs, const std::string& detail, TimePoint now, RelayActions& actions)
{
    for (const auto& leg : legs)
        refuse(leg, LegOutcome::Refused, detail, now, actions);
}

void ServerRelay::finish(const RunningLeg& running, LegResult result, TimePoint now, RelayActions& actions)
{
    const auto isAnswered = result.outcome == LegOutcome::Ok;
    const auto serviceTime = now - running.sent;
    if (isAnswered)
        m_latency = m_latency == Duration {} ? serviceTime : m_latency + (serviceTime - m_latency) / latencyWeight;
    if (isAnswered && running.isCancelled)
        ++m_shared.counters.wasted;
    m_shared.legs.erase(running.leg.key());
    if (running.isEntryLost)
        return;
    result.queueTime = running.sent - running.leg.arrived;
    result.serviceTime = serviceTime;
    actions.push_back(ReturnResult { running.leg.order->entry, std::move(result) });
}

LegResult ServerRelay::resultFor(const RelayLeg& leg, LegOutcome outcome) const
{
    LegResult result;
    result.key = leg.key();
    result.shard = leg.leg.shard;
    result.outcome = outcome;
    result.state = state();
    return result;
}

void ServerRelay::setDraining(bool isDraining, TimePoint now, RelayActions& actions)
{
    if (m_isDraining == isDraining)
        return;
    m_isDraining = isDraining;
    actions.push_back(AnnounceServer { state() });
    if (isDraining)
        refuseAll(m_queue.removeAll(), "the server is draining", now, actions);
}

void ServerRelay::setVersions(std::vector<IndexVersion> versions)
{
    std::sort(versions.begin(), versions.end());
    m_versions = std::move(versions);
}

}
