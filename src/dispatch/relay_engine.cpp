#include "dispatch/relay_engine.h"

#include "dispatch/server_relay.h"
#include "dispatch/wake_index.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Copies the part of an order that all its legs share.
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

class StandardRelayEngine final : public RelayEngine, private ServerDirectory {
public:
    StandardRelayEngine(const RelaySettings& settings, const InstanceName& self, std::unique_ptr<RandomSource> random)
        : m_self(self)
        , m_random(std::move(random))
        , m_shared(settings, *this)
    {
    }

    void onTables(std::shared_ptr<const ShardMap>, std::shared_ptr<const Ownership>, TimePoint, RelayActions&) override;
    void onWork(const WorkOrder&, TimePoint, RelayActions&) override;
    void onCancel(const LegKey&, TimePoint, RelayActions&) override;
    void onEntryDisconnected(const InstanceName&, TimePoint, RelayActions&) override;
    void onConnected(const ServerName&, ConnectionId, TimePoint, RelayActions&) override;
    void onConnectionLost(const ServerName&, ConnectionId, bool bytesWritten, TimePoint, RelayActions&) override;
    void onConnectionNotOpened(const ServerName&, ConnectionId, TimePoint, RelayActions&) override;
    void onLegResponse(const ServerName&, ConnectionId, const LegResponse&, TimePoint, RelayActions&) override;
    void onHealth(const ServerName&, const HealthReport&, TimePoint, RelayActions&) override;
    void onCrashAnnounced(const AnnounceCrash&, TimePoint) override;
    void onServerAnnounced(const ServerState&, TimePoint, RelayActions&) override;
    void beginDrain(TimePoint, RelayActions&) override { m_isDraining = true; }
    void onTimer(TimePoint, RelayActions&) override;
    TimePoint nextWake() const override { return m_wakes.earliest(); }
    std::size_t inFlight() const override { return m_shared.legs.size(); }
    std::vector<ServerState> states() const override;
    RelayCounters counters() const override;

private:
    struct HeldServer {
        WakeIndex::Serial serial = 0;
        std::unique_ptr<ServerRelay> relay;
    };
    using Servers = std::map<ServerName, HeldServer>;

    RelayRole roleAt(const ServerName&) const;
    /// Makes a call to one server's relay and updates its next wake. Returns false when the server is not held.
    template <typename Call>
    bool callRelay(const ServerName&, const Call&);
    /// Makes a call to the relay of every held server and updates its next wake.
    template <typename Call>
    void callAll(const Call&);
    /// Schedules the relay's next wake, or removes the relay when it has nothing left to do. Returns the
    /// iterator after it.
    Servers::iterator scheduleOrRemove(Servers::iterator);
    void refuse(const WorkOrder&, const LegOrder&, const std::string& detail, RelayActions&);
    void holdServer(const Server&, TimePoint, RelayActions&);

    // m_map lists only the servers of this engine; m_ownership lists all servers.
    bool exists(const ServerName& name) const override { return m_ownership && m_ownership->blocks().contains(name); }
    bool owns(const ServerName& name) const override { return m_map && m_map->findServer(name) && roleAt(name) == RelayRole::Owner; }

    InstanceName m_self;
    bool m_isDraining = false;
    std::unique_ptr<RandomSource> m_random;
    RelaySharedState m_shared;
    std::shared_ptr<const ShardMap> m_map;
    std::shared_ptr<const Ownership> m_ownership;
    Servers m_servers;
    std::map<WakeIndex::Serial, ServerName> m_names; ///< Names of the servers held.
    WakeIndex m_wakes;
    WakeIndex::Serial m_lastSerial = 0;
    std::map<ServerName, TimePoint> m_drainMarks; ///< When servers that this engine does not hold were last announced as draining.
};

RelayRole StandardRelayEngine::roleAt(const ServerName& name) const
{
    const auto* owners = m_ownership ? m_ownership->ownersOf(name) : nullptr;
    if (!owners)
        return RelayRole::None;
    if (owners->owner == m_self)
        return RelayRole::Owner;
    return owners->standby == m_self ? RelayRole::Standby : RelayRole::None;
}

template <typename Call>
bool StandardRelayEngine::callRelay(const ServerName& name, const Call& call)
{
    const auto it = m_servers.find(name);
    if (it == m_servers.end())
        return false;
    call(*it->second.relay);
    scheduleOrRemove(it);
    return true;
}

template <typename Call>
void StandardRelayEngine::callAll(const Call& call)
{
    for (auto it = m_servers.begin(); it != m_servers.end(); it = scheduleOrRemove(it))
        call(it->first, *it->second.relay);
}

StandardRelayEngine::Servers::iterator StandardRelayEngine::scheduleOrRemove(Servers::iterator it)
{
    const auto& [name, held] = *it;
    const auto& relay = *held.relay;
    if (relay.role() != RelayRole::None || !relay.isIdle()) {
        m_wakes.set(held.serial, relay.nextWake());
        return std::next(it);
    }
    if (relay.drainMarkedAt() != never && exists(name))
        m_drainMarks.insert_or_assign(name, relay.drainMarkedAt());
    m_wakes.set(held.serial, never);
    m_names.erase(held.serial);
    return m_servers.erase(it);
}

void StandardRelayEngine::onTables(std::shared_ptr<const ShardMap> map, std::shared_ptr<const Ownership> ownership, TimePoint now, RelayActions& actions)
{
    m_map = std::move(map);
    m_ownership = std::move(ownership);
    m_shared.holdersOfServer = m_ownership->holdersOfServer();
    for (const auto& [name, server] : m_map->servers()) {
        if (!m_servers.contains(name) && roleAt(name) != RelayRole::None)
            holdServer(server, now, actions);
    }
    std::erase_if(m_drainMarks, [&](const auto& it) { return !m_map->findServer(it.first); });
    callAll([&](const ServerName& name, ServerRelay& relay) {
        if (const auto* server = m_map->findServer(name))
            relay.onTables(*server, roleAt(name), now, actions);
        else
            relay.onRemoved(now, actions);
    });
}

void StandardRelayEngine::holdServer(const Server& server, TimePoint now, RelayActions& actions)
{
    HeldServer held { ++m_lastSerial, std::make_unique<ServerRelay>(server, roleAt(server.name), m_shared) };
    const auto mark = m_drainMarks.find(server.name);
    if (mark != m_drainMarks.end()) {
        held.relay->onDrainAnnounced(mark->second, now, actions);
        m_drainMarks.erase(mark);
    }
    m_names.emplace(held.serial, server.name);
    m_servers.emplace(server.name, std::move(held));
}

void StandardRelayEngine::onServerAnnounced(const ServerState& state, TimePoint now, RelayActions& actions)
{
    if (callRelay(state.server, [&](auto& relay) { relay.onDrainAnnounced(state.draining ? now : never, now, actions); }))
        return;
    if (!state.draining)
        m_drainMarks.erase(state.server);
    else if (exists(state.server))
        m_drainMarks.insert_or_assign(state.server, now);
}

void StandardRelayEngine::refuse(const WorkOrder& order, const LegOrder& leg, const std::string& detail, RelayActions& actions)
{
    ++m_shared.counters.refused;
    actions.push_back(ReturnResult { order.entry, notHeldResult(order, leg, detail) });
}

void StandardRelayEngine::onWork(const WorkOrder& order, TimePoint now, RelayActions& actions)
{
    const auto shared = withoutLegs(order);
    for (const auto& leg : order.legs) {
        const RelayLeg taken { shared, leg, now };
        // A duplicate of a leg in progress gets no result of its own, which could contradict the first.
        if (m_shared.legs.contains(taken.key()))
            continue;
        ++m_shared.counters.legs;
        if (m_isDraining)
            refuse(order, leg, "the relay is draining and takes no new legs; send the leg to another relay", actions);
        else if (!callRelay(leg.server, [&](auto& relay) { relay.onLeg(taken, now, actions); }))
            refuse(order, leg, "this relay does not hold the server; send the leg to another relay", actions);
    }
}

void StandardRelayEngine::onCancel(const LegKey& key, TimePoint now, RelayActions& actions)
{
    const auto it = m_shared.legs.find(key);
    if (it == m_shared.legs.end())
        return;
    const auto name = it->second;
    callRelay(name, [&](auto& relay) { relay.onCancel(key, now, actions); });
}

void StandardRelayEngine::onEntryDisconnected(const InstanceName& entry, TimePoint now, RelayActions& actions)
{
    callAll([&](const ServerName&, ServerRelay& relay) { relay.onEntryDisconnected(entry, now, actions); });
}

void StandardRelayEngine::onConnected(const ServerName& name, ConnectionId id, TimePoint now, RelayActions& actions)
{
    if (!callRelay(name, [&](auto& relay) { relay.onConnected(id, now, actions); }))
        actions.push_back(CloseConnection { name, id });
}

void StandardRelayEngine::onConnectionLost(const ServerName& name, ConnectionId id, bool bytesWritten, TimePoint now, RelayActions& actions)
{
    callRelay(name, [&](auto& relay) { relay.onConnectionLost(id, bytesWritten, now, actions); });
}

void StandardRelayEngine::onConnectionNotOpened(const ServerName& name, ConnectionId id, TimePoint now, RelayActions& actions)
{
    callRelay(name, [&](auto& relay) { relay.onConnectionNotOpened(id, now, actions); });
}

void StandardRelayEngine::onLegResponse(const ServerName& name, ConnectionId id, const LegResponse& response, TimePoint now, RelayActions& actions)
{
    if (!callRelay(name, [&](auto& relay) { relay.onLegResponse(id, response, now, actions); }))
        ++m_shared.counters.wasted;
}

void StandardRelayEngine::onHealth(const ServerName& name, const HealthReport& report, TimePoint now, RelayActions& actions)
{
    callRelay(name, [&](auto& relay) { relay.onHealth(report, now, actions); });
}

void StandardRelayEngine::onCrashAnnounced(const AnnounceCrash& news, TimePoint now)
{
    if (m_shared.settings.quarantine)
        m_shared.crashes.onAnnouncement(news, now);
}

void StandardRelayEngine::onTimer(TimePoint now, RelayActions& actions)
{
    // Each server is woken at most once per call: one that must be woken again at once waits for the next call.
    const auto servers = m_wakes.dueBy(now);
    for (const auto serial : servers) {
        const auto it = m_names.find(serial);
        if (it == m_names.end())
            continue;
        const auto name = it->second;
        callRelay(name, [&](auto& relay) { relay.onTimer(now, actions); });
    }
}

std::vector<ServerState> StandardRelayEngine::states() const
{
    std::vector<ServerState> states;
    states.reserve(m_servers.size());
    for (const auto& [name, held] : m_servers)
        states.push_back(held.relay->state());
    return states;
}

RelayCounters StandardRelayEngine::counters() const
{
    auto counters = m_shared.counters;
    counters.connectionsOpened = m_shared.connections.opened;
    return counters;
}

}

std::unique_ptr<RelayEngine> makeRelayEngine(const RelaySettings& settings, const InstanceName& self, std::unique_ptr<RandomSource> random)
{
    return std::make_unique<StandardRelayEngine>(settings, self, std::move(random));
}

}
