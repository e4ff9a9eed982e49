#include "dispatch/relay_test_bed.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

namespace {

constexpr Duration connectTime = 6ms;
/// Time after the first drain signal from which no relay may send new work to the server.
constexpr Duration maxDrainPropagation = 2s;
constexpr Duration messageTime = 200us;
constexpr std::uint32_t maxWakesWithoutProgress = 10000;

Instance memberNamed(const std::string& name)
{
    Instance instance;
    instance.name = InstanceName(name);
    instance.zone = ZoneName("a");
    return instance;
}

}

void RelayTestBed::check(bool holds, const std::string& what)
{
    if (!holds)
        m_violations.push_back("at " + std::to_string(m_now.time_since_epoch().count()) + " us: " + what);
}

void RelayTestBed::addServer(const TestBedServer& model)
{
    m_servers[model.name].model = model;
}

void RelayTestBed::addRelay(const std::string& name, const RelaySettings& settings)
{
    m_relays[name].engine = makeRelayEngine(settings, InstanceName(name), std::make_unique<SeededRandom>(m_random.next()));
}

std::shared_ptr<const ShardMap> RelayTestBed::shardMap() const
{
    Service service;
    service.name = ServiceName("quotedesk");
    std::vector<Server> servers;
    for (const auto& [name, testBed] : m_servers) {
        Server server;
        server.name = ServerName(name);
        server.zone = ZoneName("a");
        server.service = service.name;
        server.slots = testBed.model.slots;
        server.connectionCap = testBed.model.cap;
        servers.push_back(server);
        while (service.shards.size() <= testBed.model.shard)
            service.shards.push_back({ ShardNumber(static_cast<std::uint32_t>(service.shards.size())), {}, {} });
        service.shards[testBed.model.shard].replicas.push_back(server.name);
    }
    return std::make_shared<const ShardMap>(std::vector<Service> { service }, servers);
}

void RelayTestBed::publish(const std::string& relay, const std::vector<std::string>& instances)
{
    std::vector<Instance> members;
    members.reserve(instances.size());
    for (const auto& it : instances)
        members.push_back(memberNamed(it));
    const auto map = shardMap();
    auto& ownership = m_relays.at(relay).ownership;
    ownership = std::make_shared<const Ownership>(MembershipView(members), *map);
    call(relay, [&](auto& engine, auto& actions) { engine.onTables(map, ownership, m_now, actions); });
}

void RelayTestBed::publishAll()
{
    std::vector<std::string> names;
    for (const auto& [name, relay] : m_relays)
        names.push_back(name);
    for (const auto& name : names)
        publish(name, names);
}

std::string RelayTestBed::ownerOf(const std::string& server) const
{
    return m_relays.begin()->second.ownership->ownersOf(ServerName(server))->owner.value();
}

void RelayTestBed::runUntil(TimePoint end)
{
    std::uint32_t wakes = 0;
    for (;;) {
        auto next = m_events.empty() ? never : m_events.begin()->first;
        std::string woken;
        for (const auto& [name, relay] : m_relays) {
            if (relay.engine->nextWake() < next) {
                next = relay.engine->nextWake();
                woken = name;
            }
        }
        if (next > end)
            break;
        wakes = next > m_now ? 0 : wakes + 1;
        m_now = std::max(m_now, next);
        if (wakes > maxWakesWithoutProgress)
            return check(false, "a relay's timers run without progress");
        if (!woken.empty()) {
            call(woken, [&](auto& engine, auto& actions) { engine.onTimer(m_now, actions); });
            continue;
        }
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    m_now = std::max(m_now, end);
}

void RelayTestBed::call(const std::string& relay, const std::function<void(RelayEngine&, RelayActions&)>& event)
{
    RelayActions actions;
    auto& draining = m_relays.at(relay).knownDraining;
    draining.clear();
    for (const auto& state : m_relays.at(relay).engine->states()) {
        if (state.draining)
            draining.insert(state.server.value());
    }
    event(*m_relays.at(relay).engine, actions);
    for (const auto& it : actions)
        std::visit([&](const auto& action) { apply(relay, action); }, it);
    for (const auto& state : m_relays.at(relay).engine->states())
        check(state.inFlight <= state.slots, "a relay has more legs in flight than slots at " + state.server.value());
}

LegKey RelayTestBed::send(const std::string& relay, const std::string& server, std::uint64_t fingerprint, Priority priority, Duration budget, std::uint64_t request)
{
    WorkOrder order;
    order.request = { ProcessLife(1), request ? request : ++m_lastRequest };
    order.entry = InstanceName("entry");
    order.service = ServiceName("quotedesk");
    order.priority = priority;
    order.deadline = m_now + budget;
    order.fingerprint = Fingerprint(fingerprint);
    order.legs.push_back({ LegNumber(0), AttemptNumber(0), ShardNumber(m_servers.at(server).model.shard), ServerName(server) });
    sendWork(relay, order);
    return { order.request, LegNumber(0), AttemptNumber(0) };
}

void RelayTestBed::sendWork(const std::string& relay, const WorkOrder& order)
{
    for (const auto& it : order.legs)
        m_sent.try_emplace({ order.request, it.leg, it.attempt }, Sent { relay });
    call(relay, [&](auto& engine, auto& actions) { engine.onWork(order, m_now, actions); });
}

void RelayTestBed::cancel(const std::string& relay, const LegKey& key)
{
    call(relay, [&](auto& engine, auto& actions) { engine.onCancel(key, m_now, actions); });
}

void RelayTestBed::disconnectEntry(const std::string& relay)
{
    for (auto& [key, sent] : m_sent)
        sent.isEntryDisconnected = sent.isEntryDisconnected || (sent.relay == relay && !sent.isAnswered);
    call(relay, [&](auto& engine, auto& actions) { engine.onEntryDisconnected(InstanceName("entry"), m_now, actions); });
}

void RelayTestBed::crash(const std::string& name)
{
    auto& server = m_servers.at(name);
    if (!server.model.isUp)
        return;
    server.model.isUp = false;
    ++crashedServers[name];
    const auto busy = std::exchange(server.busy, {});
    server.running.clear();
    server.waiting.clear();
    const auto open = std::exchange(server.open, {});
    for (const auto& it : open) {
        server.connections.erase(it);
        const auto hadLeg = busy.contains(it);
        at(m_now + messageTime, [this, name, it, hadLeg] {
            call(it.relay, [&](auto& engine, auto& actions) { engine.onConnectionLost(ServerName(name), it.id, hadLeg, m_now, actions); });
        });
    }
    at(m_now + server.model.restartTime, [this, name] { restart(name); });
}

void RelayTestBed::restart(const std::string& name)
{
    auto& server = m_servers.at(name);
    auto& model = server.model;
    server.firstDrainSignal = never;
    server.coldUntil = m_now + model.coldTime;
    model.isUp = true;
    model.isDraining = false;
}

void RelayTestBed::dropConnection(const std::string& name)
{
    auto& server = m_servers.at(name);
    if (server.open.empty())
        return;
    auto it = server.open.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(m_random.below(server.open.size())));
    const auto dropped = *it;
    const auto isDropped = [&](const Leg& leg) { return leg.connection == dropped; };
    std::erase_if(server.running, isDropped);
    std::erase_if(server.waiting, isDropped);
    const auto hadLeg = server.busy.erase(dropped) > 0;
    server.open.erase(dropped);
    server.connections.erase(dropped);
    call(dropped.relay, [&](auto& engine, auto& actions) { engine.onConnectionLost(ServerName(name), dropped.id, hadLeg, m_now, actions); });
    startNext(name);
}

void RelayTestBed::reportHealth(const std::string& name, bool isDraining)
{
    for (const auto& [relay, state] : m_relays)
        call(relay, [&](auto& engine, auto& actions) { engine.onHealth(ServerName(name), { 0, isDraining, {} }, m_now, actions); });
}

std::size_t RelayTestBed::unanswered() const
{
    return static_cast<std::size_t>(std::count_if(m_sent.begin(), m_sent.end(), [](const auto& it) { return !it.second.isAnswered && !it.second.isEntryDisconnected; }));
}

std::uint32_t RelayTestBed::connectionsAt(const std::string& name) const
{
    auto n = static_cast<std::uint32_t>(m_servers.at(name).connections.size());
    for (const auto& [relay, state] : m_relays)
        n += state.ownership && state.ownership->holds(InstanceName(relay), ServerName(name)) ? 1 : 0;
    return n;
}

void RelayTestBed::checkServer(const std::string& name)
{
    const auto& server = m_servers.at(name);
    const auto connections = connectionsAt(name);
    m_peakConnections = std::max(m_peakConnections, connections);
    m_peakLegsAtServer = std::max(m_peakLegsAtServer, static_cast<std::uint32_t>(server.running.size() + server.waiting.size()));
    check(connections + RelaySettings {}.reservedConnections <= server.model.cap, "the connection cap of " + name + " is exceeded");
}

void RelayTestBed::apply(const std::string& relay, const OpenConnection& action)
{
    const auto name = action.server.value();
    const ConnectionKey key { relay, action.connection };
    check(m_servers.at(name).connections.insert(key).second, "a relay opened a connection id twice");
    checkServer(name);
    at(m_now + connectTime, [this, name, key] {
        auto& server = m_servers.at(name);
        if (!server.connections.contains(key))
            return;
        const auto isAccepted = server.model.isUp && !server.model.isDraining;
        if (isAccepted)
            server.open.insert(key);
        else
            server.connections.erase(key);
        call(key.relay, [&](auto& engine, auto& actions) {
            if (isAccepted)
                engine.onConnected(ServerName(name), key.id, m_now, actions);
            else
                engine.onConnectionLost(ServerName(name), key.id, false, m_now, actions);
        });
    });
}

void RelayTestBed::apply(const std::string& relay, const CloseConnection& action)
{
    auto& server = m_servers.at(action.server.value());
    const ConnectionKey key { relay, action.connection };
    const auto isOn = [&](const Leg& leg) { return leg.connection == key; };
    std::erase_if(server.running, isOn);
    std::erase_if(server.waiting, isOn);
    server.connections.erase(key);
    server.open.erase(key);
    server.busy.erase(key);
}

void RelayTestBed::apply(const std::string& relay, const SendLeg& action)
{
    const auto name = action.server.value();
    auto& server = m_servers.at(name);
    const ConnectionKey connection { relay, action.connection };
    const auto isOn = [&](const Leg& leg) { return leg.connection == connection; };
    check(std::none_of(server.running.begin(), server.running.end(), isOn), "a relay sent two legs on one connection");
    check(std::none_of(server.waiting.begin(), server.waiting.end(), isOn), "a relay sent two legs on one connection");
    check(action.work.legs.size() == 1, "a relay sent a work order without exactly one leg");
    check(action.work.deadline > m_now, "a relay sent a leg after its deadline");
    check(!m_relays.at(relay).knownDraining.contains(name), "a relay sent new work to " + name + " although its drain was known");
    if (server.model.isDraining) {
        server.firstDrainSignal = std::min(server.firstDrainSignal, m_now);
        check(m_now - server.firstDrainSignal <= maxDrainPropagation, "a relay sent new work to " + name + " long after the first signal of its drain");
    }
    const LegKey key { action.work.request, action.work.legs[0].leg, action.work.legs[0].attempt };
    if (!server.open.contains(connection))
        return; // The connection broke meanwhile; the engine is about to be notified.
    server.busy.insert(connection);
    const Leg leg { connection, key, action.work.fingerprint, action.work.deadline, m_now, ++m_lastSerial };
    if (server.model.isDraining)
        return respond(name, leg, LegOutcome::Refused);
    if (server.running.size() >= server.model.slots && server.waiting.size() >= server.model.queueLimit)
        return respond(name, leg, LegOutcome::Refused, 20ms);
    server.waiting.push_back(leg);
    checkServer(name);
    startNext(name);
}

void RelayTestBed::startNext(const std::string& name)
{
    auto& server = m_servers.at(name);
    while (!server.waiting.empty() && server.running.size() < server.model.slots) {
        auto leg = server.waiting.front();
        server.waiting.erase(server.waiting.begin());
        if (leg.deadline <= m_now) {
            respond(name, leg, LegOutcome::Expired);
            continue;
        }
        auto& sent = m_sent[leg.key];
        check(!sent.hasRun, "a server ran a leg twice");
        sent.hasRun = true;
        leg.started = m_now;
        server.running.push_back(leg);
        if (m_poison.contains(leg.fingerprint))
            at(m_now + 1ms, [this, name] { crash(name); });
        if (!server.model.isHung)
            at(m_now + drawServiceTime(server), [this, name, serial = leg.serial] { finish(name, serial); });
    }
}

Duration RelayTestBed::drawServiceTime(const SimulatedServer& server)
{
    const auto& model = server.model;
    const auto perLeg = model.isColdByLoad ? static_cast<double>(server.running.size()) : 1;
    const auto cold = m_now < server.coldUntil ? model.coldFactor * perLeg : 1;
    const auto factor = 0.5 - 0.5 * std::log(1 - m_random.unit());
    return Duration(static_cast<Duration::rep>(static_cast<double>(model.serviceTime.count()) * factor * model.slowFactor * cold) + 1);
}

void RelayTestBed::finish(const std::string& name, std::uint64_t serial)
{
    auto& server = m_servers.at(name);
    const auto it = std::find_if(server.running.begin(), server.running.end(), [&](const auto& leg) { return leg.serial == serial; });
    if (it == server.running.end())
        return;
    const auto leg = *it;
    server.running.erase(it);
    busyTime += m_now - leg.started;
    if (m_now > leg.deadline)
        wastedTime += m_now - leg.started;
    respond(name, leg, server.model.isFailing ? LegOutcome::Failed : LegOutcome::Ok);
    startNext(name);
}

void RelayTestBed::respond(const std::string& name, const Leg& leg, LegOutcome outcome, Duration retryAfter)
{
    LegResponse response;
    response.key = leg.key;
    response.outcome = outcome;
    response.retryAfter = retryAfter;
    response.draining = m_servers.at(name).model.isDraining;
    at(m_now + messageTime, [this, name, leg, response] {
        if (m_servers.at(name).busy.erase(leg.connection) == 0)
            return;
        call(leg.connection.relay, [&](auto& engine, auto& actions) { engine.onLegResponse(ServerName(name), leg.connection.id, response, m_now, actions); });
    });
}

void RelayTestBed::apply(const std::string& relay, const CancelAtServer& action)
{
    at(m_now + messageTime, [this, name = action.server.value(), key = action.key] {
        auto& server = m_servers.at(name);
        for (auto* legs : { &server.running, &server.waiting }) {
            const auto it = std::find_if(legs->begin(), legs->end(), [&](const auto& leg) { return leg.key == key; });
            if (it == legs->end() || server.model.isHung)
                continue;
            const auto leg = *it;
            legs->erase(it);
            if (legs == &server.running) {
                busyTime += m_now - leg.started;
                wastedTime += m_now - leg.started;
            }
            respond(name, leg, LegOutcome::Cancelled);
            return startNext(name);
        }
    });
}

void RelayTestBed::apply(const std::string& relay, const ReturnResult& action)
{
    const auto it = m_sent.find(action.result.key);
    if (it == m_sent.end())
        return check(false, "a relay returned a result for a leg that was never sent");
    check(!it->second.isAnswered, "a relay returned two results for one leg");
    check(!it->second.isEntryDisconnected, "a relay returned a result to a disconnected entry");
    check(!(provesNotRun(action.result.outcome) && it->second.hasRun), "a relay reported a leg that ran as not run: " + action.result.detail);
    it->second.isAnswered = true;
    ++outcomes[action.result.outcome];
    if (onResult)
        onResult(action.result);
}

void RelayTestBed::apply(const std::string& relay, const AnnounceServerState& action)
{
    auto& known = m_relays.at(relay).knownDraining;
    if (onServerState)
        onServerState(action.state);
    if (action.state.draining)
        known.insert(action.state.server.value());
    else
        known.erase(action.state.server.value());
    announceToOthers(relay, [action](auto& engine, auto now, auto& actions) { engine.onServerAnnounced(action.state, now, actions); });
}

void RelayTestBed::apply(const std::string& relay, const AnnounceCrash& action)
{
    announceToOthers(relay, [action](auto& engine, auto now, auto&) { engine.onCrashAnnounced(action, now); });
}

void RelayTestBed::announceToOthers(const std::string& relay, const std::function<void(RelayEngine&, TimePoint, RelayActions&)>& announcement)
{
    for (const auto& it : m_relays) {
        if (it.first == relay)
            continue;
        at(m_now + announcementDelay, [this, name = it.first, announcement] {
            call(name, [&](auto& engine, auto& actions) { announcement(engine, m_now, actions); });
        });
    }
}

}
