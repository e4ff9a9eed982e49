#include "zone_fleet.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

namespace {

constexpr Duration inZoneTime = 500us;
constexpr Duration betweenZonesTime = 4ms; ///< One way.
constexpr std::size_t maxWaiting = 12; ///< Requests at one server; further ones are refused without running.
constexpr Duration samplePeriod = 100ms;
constexpr std::uint32_t maxServerConnections = 400;
/// Few extra attempts, so that the first attempts decide what callers get.
constexpr Share maxExtraAttempts { 0.01 };
constexpr double minSwing = 0.25;
const std::vector<std::string> zones { "a", "b" };

}

ZoneFleet::ZoneFleet(int instancesPerZone, std::uint64_t seed)
    : m_random(seed)
{
    m_table = std::make_shared<RouteTable>();
    m_table->version = 1;
    m_table->services[ServiceName("s")] = { maxServerConnections };
    Route route;
    route.name = "lookup";
    route.isIdempotent = true;
    route.timeout = 3s;
    route.targetLatency = targetLatency;
    route.maxRuns = 2;
    route.targets = { { ServiceName("s"), 1 } };
    m_table->routes = { route };
    std::vector<Instance> instances;
    for (const auto& zone : zones) {
        for (int i = 0; i < instancesPerZone; ++i) {
            ForwardSettings settings;
            settings.zone = ZoneName(zone);
            settings.retryRatio = maxExtraAttempts;
            settings.instance = InstanceName(zone + std::to_string(i));
            Instance instance;
            instance.name = settings.instance;
            instance.zone = settings.zone;
            instances.push_back(instance);
            m_instances.push_back({ zone, std::make_unique<ForwardEngine>(settings, std::make_unique<SeededRandom>(m_random.next())) });
        }
        addNextCall(zone);
    }
    for (auto& it : m_instances)
        it.engine->setInstances(instances, m_now);
    addEvent(samplePeriod, { EventKind::Sample, {}, 0 });
}

std::size_t ZoneFleet::addServer(const std::string& zone, Duration work)
{
    Server server;
    server.zone = zone;
    server.work = work;
    m_servers.push_back(server);
    publish();
    return m_servers.size() - 1;
}

void ZoneFleet::publish()
{
    std::map<ServerName, ServerEntry> entries;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        ServerEntry entry;
        entry.name = ServerName("s" + std::to_string(i));
        entry.service = ServiceName("s");
        entry.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(1000 + i) };
        entry.zone = ZoneName(m_servers[i].zone);
        entry.slots = m_servers[i].slots;
        entries.emplace(entry.name, entry);
    }
    for (auto& it : m_instances)
        it.engine->onServers(entries, m_now);
}

int ZoneFleet::foreignArrivalsIn(const std::string& zone) const
{
    int sum = 0;
    for (const auto& it : m_servers)
        sum += it.zone == zone ? it.foreignArrivals : 0;
    return sum;
}

std::map<std::string, ZoneResult> ZoneFleet::run(Duration time)
{
    const auto until = m_now + time;
    m_results.clear();
    m_shares.clear();
    while (true) {
        auto next = m_events.begin()->first;
        for (const auto& it : m_instances)
            next = std::min(next, it.engine->nextWake());
        if (next > until)
            break;
        m_now = std::max(m_now, next);
        while (m_events.begin()->first <= m_now) {
            const auto event = m_events.extract(m_events.begin()).mapped();
            handle(event);
        }
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (m_instances[i].engine->nextWake() > m_now)
                continue;
            ForwardActions actions;
            m_instances[i].engine->onTimer(m_now, actions);
            execute(i, actions);
        }
    }
    m_now = until;
    return m_results;
}

void ZoneFleet::addNextCall(const std::string& zone)
{
    const auto it = m_demand.find(zone);
    const bool hasDemand = it != m_demand.end() && it->second > 0;
    const auto seconds = hasDemand ? -std::log(1 - m_random.unit()) / it->second : 0.01;
    addEvent(Duration(static_cast<Duration::rep>(seconds * 1e6)), { EventKind::Call, zone, 0 });
}

void ZoneFleet::handle(const Event& event)
{
    switch (event.kind) {
    case EventKind::Call:
        if (m_demand[event.zone] > 0)
            startCall(event.zone);
        return addNextCall(event.zone);
    case EventKind::Arrive:
        return arrive(event.id);
    case EventKind::Finish:
        return finish(event.id);
    case EventKind::Respond:
        return respond(event.id);
    case EventKind::Sample:
        return sampleShares();
    }
}

void ZoneFleet::startCall(const std::string& zone)
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (m_instances[i].zone == zone)
            candidates.push_back(i);
    }
    const auto instance = candidates[m_random.below(candidates.size())];
    ForwardRequest request;
    request.number = RequestNumber(++m_lastNumber);
    request.table = m_table;
    request.route = &m_table->routes.front();
    request.message = std::make_shared<const HttpRequest>();
    request.readAt = m_now;
    request.content = Fingerprint(m_lastNumber);
    m_calls[{ instance, request.number }] = { zone, m_now };
    ForwardActions actions;
    m_instances[instance].engine->start(request, m_now, actions);
    execute(instance, actions);
}

Duration ZoneFleet::networkTime(const Attempt& attempt) const
{
    return m_instances[attempt.instance].zone == m_servers[attempt.server].zone ? inZoneTime : betweenZonesTime;
}

void ZoneFleet::arrive(std::uint64_t id)
{
    const auto& attempt = m_attempts.at(id);
    auto& server = m_servers[attempt.server];
    ++server.arrivals;
    server.foreignArrivals += m_instances[attempt.instance].zone == server.zone ? 0 : 1;
    if (server.waiting.size() >= maxWaiting)
        return sendResponse(id, ServerResponseKind::NotRun);
    server.waiting.push_back(id);
    startWaiting(attempt.server);
}

void ZoneFleet::startWaiting(std::size_t n)
{
    auto& server = m_servers[n];
    while (!server.waiting.empty() && server.running.size() < server.slots) {
        const auto id = server.waiting.front();
        server.waiting.pop_front();
        if (m_attempts.at(id).isCancelled)
            continue;
        server.running.push_back(id);
        addEvent(server.work, { EventKind::Finish, {}, id });
    }
}

void ZoneFleet::finish(std::uint64_t id)
{
    const auto& attempt = m_attempts.at(id);
    auto& server = m_servers[attempt.server];
    std::erase(server.running, id);
    startWaiting(attempt.server);
    if (!server.isSilent)
        sendResponse(id, ServerResponseKind::Served);
}

void ZoneFleet::sendResponse(std::uint64_t id, ServerResponseKind kind)
{
    auto& attempt = m_attempts.at(id);
    const auto& server = m_servers[attempt.server];
    attempt.response.kind = kind;
    attempt.response.signature = "signed";
    attempt.response.message.status = 200;
    attempt.response.load = ServerLoad { static_cast<std::uint32_t>(server.running.size()), static_cast<std::uint32_t>(server.waiting.size()), server.slots, server.reportedSlowdown };
    addEvent(networkTime(attempt), { EventKind::Respond, {}, id });
}

void ZoneFleet::respond(std::uint64_t id)
{
    const auto attempt = m_attempts.extract(id).mapped();
    m_attemptsByRequest.erase({ attempt.instance, attempt.id.value() });
    ForwardActions actions;
    m_instances[attempt.instance].engine->onResponse(attempt.id, attempt.response, m_now, actions);
    execute(attempt.instance, actions);
}

void ZoneFleet::execute(std::size_t instance, const ForwardActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* request = std::get_if<SendServerRequest>(&action)) {
            const auto server = static_cast<std::size_t>(request->server.endpoint.port - 1000);
            const auto id = ++m_lastAttempt;
            m_attempts[id] = { instance, server, request->id, false, {} };
            m_attemptsByRequest[{ instance, request->id.value() }] = id;
            addEvent(networkTime(m_attempts[id]), { EventKind::Arrive, {}, id });
        } else if (const auto* cancel = std::get_if<CancelServerRequest>(&action)) {
            if (const auto it = m_attemptsByRequest.find({ instance, cancel->id.value() }); it != m_attemptsByRequest.end())
                m_attempts.at(it->second).isCancelled = true;
        } else if (const auto* answer = std::get_if<DeliverForwardAnswer>(&action)) {
            deliver(instance, answer->answer);
        }
    }
}

void ZoneFleet::deliver(std::size_t instance, const ForwardAnswer& answer)
{
    const auto call = m_calls.extract({ instance, answer.request }).mapped();
    auto& result = m_results[call.zone];
    ++result.requests;
    if (answer.kind == ForwardAnswerKind::PassThrough && m_now - call.startedAt <= targetLatency)
        ++result.inTime;
}

double ZoneFleet::leftShareOf(const std::string& zone) const
{
    double sum = 0;
    int count = 0;
    for (const auto& it : m_instances) {
        if (it.zone != zone)
            continue;
        sum += it.engine->highestLeftShare();
        ++count;
    }
    return sum / count;
}

void ZoneFleet::sampleShares()
{
    for (const auto& zone : zones)
        m_shares[zone].push_back(leftShareOf(zone));
    addEvent(samplePeriod, { EventKind::Sample, {}, 0 });
}

int ZoneFleet::swingsOf(const std::string& zone) const
{
    const auto it = m_shares.find(zone);
    if (it == m_shares.end())
        return 0;
    int swings = 0;
    double turn = it->second.front();
    int direction = 0;
    for (const auto share : it->second) {
        const bool continues = direction == 0 || (share - turn) * direction > 0;
        if (continues && std::abs(share - turn) < minSwing && direction == 0)
            continue;
        if (continues) {
            direction = share > turn ? 1 : -1;
            turn = share;
        } else if (std::abs(share - turn) >= minSwing) {
            direction = -direction;
            turn = share;
            ++swings;
        }
    }
    return swings;
}

}
