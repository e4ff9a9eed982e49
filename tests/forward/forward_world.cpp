#include "forward_world.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::uint64_t seed = 11;
constexpr std::uint32_t connectionsOfServer = 26;

Route routeAt(const std::string& name)
{
    Route route;
    route.name = name;
    route.host = "a.example";
    route.prefix = "/" + name + "/";
    route.maxRuns = 2;
    return route;
}

}

ForwardWorld::ForwardWorld(ForwardSettings settings)
    : m_engine(std::move(settings), std::make_unique<SeededRandom>(seed))
{
    m_engine.setInstances(1);
}

void ForwardWorld::addServer(const std::string& service, const std::string& name, const std::string& zone, ServerModel model)
{
    Server server;
    server.entry.name = ServerName(name);
    server.entry.service = ServiceName(service);
    server.entry.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(1000 + m_servers.size()) };
    server.entry.zone = ZoneName(zone);
    server.entry.slots = model.slots;
    server.model = model;
    m_servers.emplace(server.entry.name, std::move(server));
    publish();
}

void ForwardWorld::removeServer(const std::string& name)
{
    m_servers.erase(ServerName(name));
    publish();
}

void ForwardWorld::publish()
{
    std::map<ServerName, ServerEntry> entries;
    for (const auto& [name, server] : m_servers)
        entries.emplace(name, server.entry);
    m_engine.onServers(entries, m_now);
}

Route ForwardWorld::searchRoute(const std::vector<std::string>& services) const
{
    auto route = routeAt("search");
    route.isIdempotent = true;
    route.timeout = std::chrono::seconds(3);
    route.targetLatency = std::chrono::milliseconds(200);
    route.topRecords = 5;
    route.minimumCoverage = Share { 0.89 };
    for (const auto& it : services)
        route.shards.emplace_back(it);
    return route;
}

Route ForwardWorld::singleRoute(const std::string& service, bool isIdempotent) const
{
    auto route = routeAt("single");
    route.isIdempotent = isIdempotent;
    route.timeout = std::chrono::seconds(10);
    route.targetLatency = std::chrono::milliseconds(800);
    route.targets = { { ServiceName(service), 1 } };
    return route;
}

RequestNumber ForwardWorld::start(const Route& route, Duration patience)
{
    auto table = std::make_shared<RouteTable>();
    table->version = 1;
    table->routes = { route };
    for (const auto& [name, server] : m_servers)
        table->services[server.entry.service] = { connectionsOfServer };
    m_tables.push_back(table);
    const RequestNumber number { ++m_lastRequest };
    m_started[number] = m_now;
    decide([&](ForwardActions& actions) { m_engine.start({ number, table, &table->routes.front(), std::make_shared<const HttpRequest>(), "attempt-" + std::to_string(m_lastRequest), m_now + patience, m_now, never, {}, true }, m_now, actions); });
    run(Duration {}); // What is left for its next turn.
    return number;
}

void ForwardWorld::startAs(const ForwardRequest& request)
{
    m_started[request.number] = m_now;
    decide([&](ForwardActions& actions) { m_engine.start(request, m_now, actions); });
    run(Duration {});
}

void ForwardWorld::relayed(DelegationId id, const ForwardAnswer& answer)
{
    decide([&](ForwardActions& actions) { m_engine.onDelegationAnswered(id, answer, m_now, actions); });
}

void ForwardWorld::relayFailed(DelegationId id, bool mayHaveRun)
{
    decide([&](ForwardActions& actions) { m_engine.onDelegationFailed(id, mayHaveRun, m_now, actions); });
}

bool ForwardWorld::relaySilent(DelegationId id)
{
    bool isTakenBack = false;
    decide([&](ForwardActions& actions) { isTakenBack = m_engine.onDelegationSilent(id, m_now, actions); });
    return isTakenBack;
}

void ForwardWorld::secondSendsWanted(DelegationId id, const std::vector<std::uint32_t>& positions)
{
    decide([&](ForwardActions& actions) { m_engine.onExtraAttemptsRequested(id, positions, actions); });
}

void ForwardWorld::secondSendsGranted(RequestNumber number)
{
    decide([&](ForwardActions& actions) { m_engine.onExtraAttemptsGranted(number, m_now, actions); });
}

void ForwardWorld::leave(RequestNumber number)
{
    decide([&](ForwardActions& actions) { m_engine.cancel(number, m_now, actions); });
}

TimePoint ForwardWorld::nextEnd() const
{
    TimePoint next = never;
    for (const auto& [name, server] : m_servers) {
        if (server.model.isSilent)
            continue;
        for (const auto& [end, send] : server.running)
            next = std::min(next, end);
    }
    return next;
}

void ForwardWorld::run(Duration time)
{
    const auto until = m_now + time;
    while (true) {
        const auto next = std::min(nextEnd(), m_engine.nextWake());
        if (next > until)
            break;
        m_now = std::max(m_now, next);
        endDue();
        ForwardActions actions;
        m_engine.onTimer(m_now, actions);
        execute(actions);
    }
    m_now = until;
}

void ForwardWorld::endDue()
{
    for (auto& [name, server] : m_servers) {
        while (!server.model.isSilent) {
            const auto it = std::find_if(server.running.begin(), server.running.end(), [&](const auto& run) { return run.first <= m_now; });
            if (it == server.running.end())
                break;
            const auto id = it->second.id;
            server.running.erase(it);
            startWaiting(server);
            ForwardActions actions;
            m_engine.onResponse(id, replyOf(server, ServerResponseKind::Served), m_now, actions);
            execute(actions);
        }
    }
}

ServerResponse ForwardWorld::replyOf(const Server& server, ServerResponseKind kind) const
{
    ServerResponse reply;
    reply.kind = kind;
    reply.signature = kind == ServerResponseKind::Served ? server.entry.name.value() : "";
    reply.message.status = kind == ServerResponseKind::Served ? 200 : 500;
    reply.message.body = std::string(16, 'r');
    if (server.model.tellsLoad)
        reply.load = ServerLoad { static_cast<std::uint32_t>(server.running.size()), static_cast<std::uint32_t>(server.waiting.size()), server.model.slots };
    return reply;
}

void ForwardWorld::arrive(const SendServerRequest& send)
{
    const auto it = m_servers.find(send.server.name);
    if (it == m_servers.end()) {
        ForwardActions actions;
        m_engine.onLost(send.id, ServerRequestFailure::NotConnected, m_now, actions);
        execute(actions);
        return;
    }
    auto& server = it->second;
    ++server.arrivals;
    if (server.running.size() >= server.model.slots && server.waiting.size() >= server.model.queue) {
        ForwardActions actions;
        m_engine.onResponse(send.id, replyOf(server, ServerResponseKind::NotRun), m_now, actions);
        execute(actions);
        return;
    }
    server.waiting.push_back(send);
    startWaiting(server);
}

void ForwardWorld::startWaiting(Server& server)
{
    while (!server.waiting.empty() && server.running.size() < server.model.slots) {
        server.running.emplace_back(m_now + server.model.work, server.waiting.front());
        server.waiting.pop_front();
    }
}

void ForwardWorld::forget(ServerRequestId id)
{
    for (auto& [name, server] : m_servers) {
        std::erase_if(server.running, [&](const auto& run) { return run.second.id == id; });
        std::erase_if(server.waiting, [&](const auto& send) { return send.id == id; });
        startWaiting(server);
    }
}

void ForwardWorld::reply(ServerRequestId id, ServerResponseKind kind)
{
    for (const auto& send : sends()) {
        if (send.id != id)
            continue;
        const auto reply = replyOf(m_servers.at(send.server.name), kind);
        forget(id);
        ForwardActions actions;
        m_engine.onResponse(id, reply, m_now, actions);
        execute(actions);
        return;
    }
}

void ForwardWorld::lose(ServerRequestId id, ServerRequestFailure loss)
{
    forget(id);
    decide([&](ForwardActions& actions) { m_engine.onLost(id, loss, m_now, actions); });
}

std::vector<SendServerRequest> ForwardWorld::sends() const
{
    std::vector<SendServerRequest> sends;
    for (const auto& [name, server] : m_servers) {
        for (const auto& [end, send] : server.running)
            sends.push_back(send);
        sends.insert(sends.end(), server.waiting.begin(), server.waiting.end());
    }
    std::sort(sends.begin(), sends.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return sends;
}

const ForwardAnswer* ForwardWorld::answerTo(RequestNumber number) const
{
    const auto it = m_outcomes.find(number);
    return it == m_outcomes.end() ? nullptr : &it->second.answer;
}

void ForwardWorld::execute(const ForwardActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* send = std::get_if<SendServerRequest>(&action)) {
            arrive(*send);
        } else if (const auto* close = std::get_if<CancelServerRequest>(&action)) {
            ++m_closed;
            forget(close->id);
        } else if (const auto* ask = std::get_if<DelegateShards>(&action)) {
            m_asked.push_back(*ask);
        } else if (std::get_if<CancelDelegation>(&action)) {
            ++m_endedRelays;
        } else if (const auto* grant = std::get_if<GrantExtraAttempts>(&action)) {
            m_granted.push_back(grant->id);
        } else if (const auto* want = std::get_if<RequestExtraAttempts>(&action)) {
            m_wanted.push_back(*want);
        } else if (const auto* crash = std::get_if<AnnounceContentCrash>(&action)) {
            m_toldCrashes.push_back(*crash);
        } else if (const auto* deliver = std::get_if<DeliverForwardAnswer>(&action)) {
            const auto number = deliver->answer.request;
            m_outcomes.emplace(number, Outcome { deliver->answer, m_now - m_started.at(number) });
        }
    }
}

}
