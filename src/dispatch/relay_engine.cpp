#include "dispatch/relay_engine.h"

#include "dispatch/server_relay.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Copies what all legs of an order share.
std::shared_ptr<const WorkOrder> withoutLegs(const WorkOrder& order)
{
    auto copy = std::make_shared<WorkOrder>();
    copy->request = order.request;
    copy->entry = order.entry;
    copy->service = order.service;
    copy->kind = order.kind;
    copy->priority = order.priority;
    copy->deadline = order.deadline;
    copy->version = order.version;
    copy->epoch = order.epoch;
    copy->fingerprint = order.fingerprint;
    copy->body = order.body;
    copy->traceparent = order.traceparent;
    return copy;
}

class BlockRelayEngine final : public RelayEngine, private ServerDirectory {
public:
    BlockRelayEngine(const RelaySettings& settings, const InstanceName& self, std::unique_ptr<RandomSource> random)
        : m_self(self)
        , m_random(std::move(random))
        , m_shared(settings, *this)
    {
    }

    void onTables(std::shared_ptr<const ShardMap>, std::shared_ptr<const Ownership>, TimePoint, RelayActions&) override;
    void onWork(const WorkOrder&, TimePoint, RelayActions&) override;
    void onCancel(const LegKey&, TimePoint, RelayActions&) override;
    void onEntryLost(const InstanceName&, TimePoint, RelayActions&) override;
    void onConnected(const ServerName&, ConnectionId, TimePoint, RelayActions&) override;
    void onConnectionLost(const ServerName&, ConnectionId, bool bytesHanded, TimePoint, RelayActions&) override;
    void onServerAnswer(const ServerName&, ConnectionId, const ServerAnswer&, TimePoint, RelayActions&) override;
    void onHealth(const ServerName&, const HealthReport&, TimePoint, RelayActions&) override;
    void onCrashNews(const AnnounceCrash&, TimePoint) override;
    void onServerNews(const ServerState&, TimePoint, RelayActions&) override;
    void beginDrain(TimePoint, RelayActions&) override { m_isDraining = true; }
    void onTimer(TimePoint, RelayActions&) override;
    TimePoint nextWake() const override;
    std::size_t inFlight() const override { return m_shared.legs.size(); }
    std::vector<ServerState> states() const override;
    RelayCounters counters() const override;

private:
    RelayRole roleAt(const ServerName&) const;
    ServerRelay* find(const ServerName&);
    void refuse(const WorkOrder&, const LegOrder&, const std::string& detail, RelayActions&);
    void dropIdleServers();
    void hold(const Server&, RelayRole, TimePoint, RelayActions&);

    // The map holds this engine's servers only; the ownership knows all.
    bool exists(const ServerName& name) const override { return m_ownership && m_ownership->blocks().contains(name); }
    bool owns(const ServerName& name) const override { return m_map && m_map->findServer(name) && roleAt(name) == RelayRole::Owner; }

    InstanceName m_self;
    bool m_isDraining = false;
    std::unique_ptr<RandomSource> m_random;
    RelayShared m_shared;
    std::shared_ptr<const ShardMap> m_map;
    std::shared_ptr<const Ownership> m_ownership;
    std::map<ServerName, std::unique_ptr<ServerRelay>> m_servers;
    std::map<ServerName, TimePoint> m_drainMarks; ///< Of servers that this relay does not hold.
};

RelayRole BlockRelayEngine::roleAt(const ServerName& name) const
{
    const auto* owners = m_ownership ? m_ownership->ownersOf(name) : nullptr;
    if (!owners)
        return RelayRole::None;
    if (owners->owner == m_self)
        return RelayRole::Owner;
    return owners->standby == m_self ? RelayRole::Standby : RelayRole::None;
}

ServerRelay* BlockRelayEngine::find(const ServerName& name)
{
    const auto it = m_servers.find(name);
    return it == m_servers.end() ? nullptr : it->second.get();
}

void BlockRelayEngine::onTables(std::shared_ptr<const ShardMap> map, std::shared_ptr<const Ownership> ownership, TimePoint now, RelayActions& actions)
{
    m_map = std::move(map);
    m_ownership = std::move(ownership);
    for (const auto& [name, server] : m_map->servers()) {
        const auto role = roleAt(name);
        if (auto* relay = find(name))
            relay->onTables(server, role, now, actions);
        else if (role != RelayRole::None)
            hold(server, role, now, actions);
    }
    std::erase_if(m_drainMarks, [&](const auto& it) { return !m_map->findServer(it.first); });
    for (auto& [name, relay] : m_servers) {
        if (!m_map->findServer(name))
            relay->onGone(now, actions);
    }
    dropIdleServers();
}

void BlockRelayEngine::hold(const Server& server, RelayRole role, TimePoint now, RelayActions& actions)
{
    auto& relay = *m_servers.emplace(server.name, std::make_unique<ServerRelay>(server, role, m_shared)).first->second;
    const auto mark = m_drainMarks.find(server.name);
    if (mark != m_drainMarks.end()) {
        relay.onDrainNews(mark->second, now, actions);
        m_drainMarks.erase(mark);
    }
    relay.onTables(server, role, now, actions);
}

void BlockRelayEngine::dropIdleServers()
{
    std::erase_if(m_servers, [this](const auto& it) {
        const auto& relay = *it.second;
        if (relay.role() != RelayRole::None || !relay.isIdle())
            return false;
        if (relay.drainMarkedAt() != never && exists(it.first))
            m_drainMarks.insert_or_assign(it.first, relay.drainMarkedAt());
        return true;
    });
}

void BlockRelayEngine::onServerNews(const ServerState& state, TimePoint now, RelayActions& actions)
{
    if (auto* relay = find(state.server))
        relay->onDrainNews(state.draining ? now : never, now, actions);
    else if (!state.draining)
        m_drainMarks.erase(state.server);
    else if (exists(state.server))
        m_drainMarks.insert_or_assign(state.server, now);
}

void BlockRelayEngine::refuse(const WorkOrder& order, const LegOrder& leg, const std::string& detail, RelayActions& actions)
{
    ++m_shared.counters.refused;
    LegResult result;
    result.key = { order.request, leg.leg, leg.attempt };
    result.shard = leg.shard;
    result.outcome = LegOutcome::Refused;
    result.state.server = leg.server;
    result.detail = detail;
    actions.push_back(ReturnResult { order.entry, std::move(result) });
}

void BlockRelayEngine::onWork(const WorkOrder& order, TimePoint now, RelayActions& actions)
{
    const auto shared = withoutLegs(order);
    for (const auto& leg : order.legs) {
        const RelayLeg taken { shared, leg, now };
        // A second copy of a leg that is here gets no answer of its own: it would contradict the first.
        if (m_shared.legs.contains(taken.key()))
            continue;
        ++m_shared.counters.legs;
        auto* relay = find(leg.server);
        if (m_isDraining)
            refuse(order, leg, "the relay is draining", actions);
        else if (!relay)
            refuse(order, leg, "this relay does not hold the server", actions);
        else
            relay->onLeg(taken, now, actions);
    }
}

void BlockRelayEngine::onCancel(const LegKey& key, TimePoint now, RelayActions& actions)
{
    const auto it = m_shared.legs.find(key);
    if (it == m_shared.legs.end())
        return;
    if (auto* relay = find(it->second))
        relay->onCancel(key, now, actions);
}

void BlockRelayEngine::onEntryLost(const InstanceName& entry, TimePoint now, RelayActions& actions)
{
    for (auto& [name, relay] : m_servers)
        relay->onEntryLost(entry, now, actions);
}

void BlockRelayEngine::onConnected(const ServerName& name, ConnectionId id, TimePoint now, RelayActions& actions)
{
    if (auto* relay = find(name))
        relay->onConnected(id, now, actions);
    else
        actions.push_back(CloseConnection { name, id });
}

void BlockRelayEngine::onConnectionLost(const ServerName& name, ConnectionId id, bool bytesHanded, TimePoint now, RelayActions& actions)
{
    if (auto* relay = find(name))
        relay->onConnectionLost(id, bytesHanded, now, actions);
    dropIdleServers();
}

void BlockRelayEngine::onServerAnswer(const ServerName& name, ConnectionId id, const ServerAnswer& answer, TimePoint now, RelayActions& actions)
{
    if (auto* relay = find(name))
        relay->onServerAnswer(id, answer, now, actions);
    else
        ++m_shared.counters.wasted;
    dropIdleServers();
}

void BlockRelayEngine::onHealth(const ServerName& name, const HealthReport& report, TimePoint now, RelayActions& actions)
{
    if (auto* relay = find(name))
        relay->onHealth(report, now, actions);
}

void BlockRelayEngine::onCrashNews(const AnnounceCrash& news, TimePoint now)
{
    if (m_shared.settings.quarantine)
        m_shared.crashes.onNews(news, now);
}

void BlockRelayEngine::onTimer(TimePoint now, RelayActions& actions)
{
    for (auto& [name, relay] : m_servers) {
        if (relay->nextWake() <= now)
            relay->onTimer(now, actions);
    }
}

TimePoint BlockRelayEngine::nextWake() const
{
    auto wake = never;
    for (const auto& [name, relay] : m_servers)
        wake = std::min(wake, relay->nextWake());
    return wake;
}

std::vector<ServerState> BlockRelayEngine::states() const
{
    std::vector<ServerState> states;
    states.reserve(m_servers.size());
    for (const auto& [name, relay] : m_servers)
        states.push_back(relay->state());
    return states;
}

RelayCounters BlockRelayEngine::counters() const
{
    auto counters = m_shared.counters;
    counters.connectionsOpened = m_shared.connections.opened;
    return counters;
}

}

std::unique_ptr<RelayEngine> makeRelayEngine(const RelaySettings& settings, const InstanceName& self, std::unique_ptr<RandomSource> random)
{
    return std::make_unique<BlockRelayEngine>(settings, self, std::move(random));
}

}
