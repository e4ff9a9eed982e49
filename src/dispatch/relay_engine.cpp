#include "dispatch/relay_engine.h"

#include "dispatch/server_relay.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

class BlockRelayEngine final : public RelayEngine {
public:
    BlockRelayEngine(const RelaySettings& settings, const InstanceName& self, std::unique_ptr<RandomSource> random)
        : m_random(std::move(random))
    {
        m_shared.settings = settings;
        m_shared.self = self;
    }

    void onTables(std::shared_ptr<const ShardMap>, std::shared_ptr<const Ownership>, TimePoint, RelayActions&) override;
    void onWork(const WorkOrder&, TimePoint, RelayActions&) override;
    void onCancel(const LegKey&, TimePoint, RelayActions&) override;
    void onEntryLost(const InstanceName&, TimePoint, RelayActions&) override;
    void onConnected(const ServerName&, ConnectionId, TimePoint, RelayActions&) override;
    void onConnectionLost(const ServerName&, ConnectionId, bool bytesHanded, TimePoint, RelayActions&) override;
    void onServerAnswer(const ServerName&, ConnectionId, const ServerAnswer&, TimePoint, RelayActions&) override;
    void onHealth(const ServerName&, const HealthReport&, TimePoint, RelayActions&) override;
    void onCrashNews(const AnnounceCrash&, TimePoint) override { }
    void beginDrain(TimePoint, RelayActions&) override { m_shared.isDraining = true; }
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

    std::unique_ptr<RandomSource> m_random;
    RelayShared m_shared;
    std::shared_ptr<const ShardMap> m_map;
    std::shared_ptr<const Ownership> m_ownership;
    std::map<ServerName, ServerRelay> m_servers;
};

RelayRole BlockRelayEngine::roleAt(const ServerName& name) const
{
    const auto* owners = m_ownership->ownersOf(name);
    if (!owners)
        return RelayRole::None;
    if (owners->owner == m_shared.self)
        return RelayRole::Owner;
    return owners->standby == m_shared.self ? RelayRole::Standby : RelayRole::None;
}

ServerRelay* BlockRelayEngine::find(const ServerName& name)
{
    const auto it = m_servers.find(name);
    return it == m_servers.end() ? nullptr : &it->second;
}

void BlockRelayEngine::onTables(std::shared_ptr<const ShardMap> map, std::shared_ptr<const Ownership> ownership, TimePoint now, RelayActions& actions)
{
    m_map = std::move(map);
    m_ownership = std::move(ownership);
    for (const auto& [name, server] : m_map->servers()) {
        const auto role = roleAt(name);
        auto it = m_servers.find(name);
        if (it == m_servers.end()) {
            if (role == RelayRole::None)
                continue;
            it = m_servers.try_emplace(name, server, m_shared).first;
        }
        it->second.setServer(server, now, actions);
        it->second.setRole(role, now, actions);
    }
    for (auto& [name, relay] : m_servers) {
        if (!m_map->findServer(name))
            relay.setRole(RelayRole::None, now, actions);
    }
    dropIdleServers();
}

void BlockRelayEngine::dropIdleServers()
{
    std::erase_if(m_servers, [](const auto& entry) { return entry.second.role() == RelayRole::None && entry.second.isIdle(); });
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
    const auto shared = std::make_shared<const WorkOrder>(order);
    for (const auto& leg : order.legs) {
        const RelayLeg taken { shared, leg, now };
        // A second copy of a leg that is here gets no answer of its own: it would contradict the first.
        if (m_shared.legs.contains(taken.key()))
            continue;
        ++m_shared.counters.legs;
        auto* relay = find(leg.server);
        if (m_shared.isDraining)
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
        relay.onEntryLost(entry, now, actions);
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

void BlockRelayEngine::onTimer(TimePoint now, RelayActions& actions)
{
    for (auto& [name, relay] : m_servers) {
        if (relay.nextWake() <= now)
            relay.onTimer(now, actions);
    }
}

TimePoint BlockRelayEngine::nextWake() const
{
    auto wake = never;
    for (const auto& [name, relay] : m_servers)
        wake = std::min(wake, relay.nextWake());
    return wake;
}

std::vector<ServerState> BlockRelayEngine::states() const
{
    std::vector<ServerState> states;
    states.reserve(m_servers.size());
    for (const auto& [name, relay] : m_servers)
        states.push_back(relay.state());
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
