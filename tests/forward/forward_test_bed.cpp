#include "forward_test_bed.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::uint64_t seed = 11;
constexpr std::uint32_t maxServerConnections = 26;
/// One record.
const std::string usualBody(16, 'r');

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

ForwardSettings settingsInZoneA()
{
    ForwardSettings settings;
    settings.zone = ZoneName("a");
    settings.retrySlack = 100;
    return settings;
}

ForwardTestBed::ForwardTestBed(ForwardSettings settings)
    : m_engine(std::move(settings), std::make_unique<SeededRandom>(seed))
{
    m_engine.setInstances({}, m_now);
}

void ForwardTestBed::addServer(const std::string& service, const std::string& name, const std::string& zone, ServerModel model)
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

void ForwardTestBed::addReplicatedShards(const std::vector<std::string>& shards, ServerModel model)
{
    for (const auto& it : shards) {
        addServer(it, it + "-a", "a", model);
        addServer(it, it + "-b", "a", model);
    }
}

void ForwardTestBed::removeServer(const std::string& name)
{
    m_servers.erase(ServerName(name));
    publish();
}

void ForwardTestBed::restartServer(const std::string& name)
{
    auto& server = m_servers.at(ServerName(name));
    ++server.entry.startedAt;
    server.running.clear();
    server.waiting.clear();
    server.arrivals = 0;
    server.model.isLeaving = false;
    publish();
}

void ForwardTestBed::setListed(const std::string& name, bool isListed)
{
    m_servers.at(ServerName(name)).isListed = isListed;
    publish();
}

void ForwardTestBed::publish()
{
    std::map<ServerName, ServerEntry> entries;
    for (const auto& [name, server] : m_servers) {
        if (server.isListed)
            entries.emplace(name, server.entry);
    }
    m_engine.onServers(entries, m_now);
}

Route ForwardTestBed::searchRoute(const std::vector<std::string>& services) const
{
    auto route = routeAt("search");
    route.isIdempotent = true;
    route.timeout = std::chrono::seconds(3);
    route.targetLatency = std::chrono::milliseconds(200);
    route.topRecords = 5;
    route.minCoverage = Share { 0.89 };
    for (const auto& it : services)
        route.shards.emplace_back(it);
    return route;
}

Route ForwardTestBed::singleRoute(const std::string& service, bool isIdempotent) const
{
    auto route = routeAt("single");
    route.isIdempotent = isIdempotent;
    route.timeout = std::chrono::seconds(10);
    route.targetLatency = std::chrono::milliseconds(800);
    route.targets = { { ServiceName(service), 1 } };
    return route;
}

RequestNumber ForwardTestBed::start(const Route& route, Duration timeLimit)
{
    auto table = std::make_shared<RouteTable>();
    table->version = 1;
    table->routes = { route };
    for (const auto& [name, server] : m_servers)
        table->services[server.entry.service] = { maxServerConnections };
    m_tables.push_back(table);
    const RequestNumber number { ++m_lastRequest };
    m_started[number] = m_now;
    callAndExecute([&](ForwardActions& actions) { m_engine.start({ number, table, &table->routes.front(), std::make_shared<const HttpRequest>(), "attempt-" + std::to_string(m_lastRequest), m_now + timeLimit, m_now, never, {}, true, m_networkTime, m_content, m_team }, m_now, actions); });
    run(Duration {}); // Sends the legs that were left for the request's next turn.
    return number;
}

void ForwardTestBed::startRequest(const ForwardRequest& request)
{
    m_started[request.number] = m_now;
    callAndExecute([&](ForwardActions& actions) { m_engine.start(request, m_now, actions); });
    run(Duration {});
}

void ForwardTestBed::answerDelegation(DelegationId id, const ForwardAnswer& answer)
{
    callAndExecute([&](ForwardActions& actions) { m_engine.onDelegationAnswered(id, answer, m_now, actions); });
}

void ForwardTestBed::failDelegation(DelegationId id, bool mayHaveRun)
{
    callAndExecute([&](ForwardActions& actions) { m_engine.onDelegationFailed(id, mayHaveRun, m_now, actions); });
}

bool ForwardTestBed::reportDelegationSilent(DelegationId id)
{
    bool isTakenBack = false;
    callAndExecute([&](ForwardActions& actions) { isTakenBack = m_engine.onDelegationSilent(id, m_now, actions); });
    return isTakenBack;
}

void ForwardTestBed::requestExtraAttempts(DelegationId id, const std::vector<std::uint32_t>& positions)
{
    callAndExecute([&](ForwardActions& actions) { m_engine.onExtraAttemptsRequested(id, positions, actions); });
}

void ForwardTestBed::grantExtraAttempts(RequestNumber number)
{
    callAndExecute([&](ForwardActions& actions) { m_engine.onExtraAttemptsGranted(number, m_now, actions); });
}

void ForwardTestBed::disconnect(RequestNumber number)
{
    callAndExecute([&](ForwardActions& actions) { m_engine.cancel(number, m_now, actions); });
}

void ForwardTestBed::announceCrash(const CrashNews& news)
{
    callAndExecute([&](ForwardActions& actions) { m_engine.onCrashAnnounced(news, m_now, actions); });
}

TimePoint ForwardTestBed::nextCompletion() const
{
    TimePoint next = never;
    for (const auto& [name, server] : m_servers) {
        if (server.model.isSilent)
            continue;
        for (const auto& [end, serverRequest] : server.running)
            next = std::min(next, end);
    }
    return next;
}

void ForwardTestBed::run(Duration time)
{
    const auto until = m_now + time;
    while (true) {
        const auto next = std::min(nextCompletion(), m_engine.nextWake());
        if (next > until)
            break;
        m_now = std::max(m_now, next);
        completeDue();
        ForwardActions actions;
        m_engine.onTimer(m_now, actions);
        execute(actions);
    }
    m_now = until;
}

void ForwardTestBed::completeDue()
{
    for (auto& entry : m_servers) {
        auto& server = entry.second;
        while (!server.model.isSilent) {
            const auto it = std::find_if(server.running.begin(), server.running.end(), [&](const auto& run) { return run.first <= m_now; });
            if (it == server.running.end())
                break;
            const auto id = it->second.id;
            server.running.erase(it);
            startWaiting(server);
            if (server.model.lostShare > 0 && m_random.unit() < server.model.lostShare) {
                callAndExecute([&](ForwardActions& actions) { m_engine.onServerRequestFailed(id, ServerRequestFailure::Broken, m_now, actions); });
                continue;
            }
            callAndExecute([&](ForwardActions& actions) { m_engine.onResponse(id, responseOf(server, ServerResponseKind::Served), m_now, actions); });
        }
    }
}

ServerResponse ForwardTestBed::responseOf(const Server& server, ServerResponseKind kind) const
{
    ServerResponse response;
    response.kind = kind;
    response.signature = kind == ServerResponseKind::Served ? server.entry.name.value() : "";
    response.message.status = kind == ServerResponseKind::Served ? 200 : 500;
    response.message.body = usualBody;
    response.isLeaving = server.model.isLeaving;
    if (kind == ServerResponseKind::NotRun)
        response.retryAfter = server.model.retryAfter;
    if (server.model.reportsLoad)
        response.load = ServerLoad { static_cast<std::uint32_t>(server.running.size()), static_cast<std::uint32_t>(server.waiting.size()), server.model.slots };
    return response;
}

void ForwardTestBed::arrive(const SendServerRequest& serverRequest)
{
    const auto it = m_servers.find(serverRequest.server.name);
    if (it == m_servers.end()) {
        ForwardActions actions;
        m_engine.onServerRequestFailed(serverRequest.id, ServerRequestFailure::NotConnected, m_now, actions);
        execute(actions);
        return;
    }
    auto& server = it->second;
    ++server.arrivals;
    if (server.running.size() >= server.model.slots && server.waiting.size() >= server.model.queue) {
        ForwardActions actions;
        m_engine.onResponse(serverRequest.id, responseOf(server, ServerResponseKind::NotRun), m_now, actions);
        execute(actions);
        return;
    }
    server.waiting.push_back(serverRequest);
    startWaiting(server);
}

void ForwardTestBed::startWaiting(Server& server)
{
    while (!server.waiting.empty() && server.running.size() < server.model.slots) {
        server.running.emplace_back(m_now + server.model.work, server.waiting.front());
        server.waiting.pop_front();
    }
}

void ForwardTestBed::forget(ServerRequestId id)
{
    for (auto& [name, server] : m_servers) {
        std::erase_if(server.running, [&](const auto& run) { return run.second.id == id; });
        std::erase_if(server.waiting, [&](const auto& serverRequest) { return serverRequest.id == id; });
        startWaiting(server);
    }
}

void ForwardTestBed::respond(ServerRequestId id, ServerResponseKind kind)
{
    respond(id, kind, usualBody);
}

void ForwardTestBed::respond(ServerRequestId id, ServerResponseKind kind, const std::string& body)
{
    for (const auto& serverRequest : serverRequests()) {
        if (serverRequest.id != id)
            continue;
        auto response = responseOf(m_servers.at(serverRequest.server.name), kind);
        response.message.body = body;
        forget(id);
        ForwardActions actions;
        m_engine.onResponse(id, response, m_now, actions);
        execute(actions);
        return;
    }
}

void ForwardTestBed::failServerRequest(ServerRequestId id, ServerRequestFailure failure)
{
    forget(id);
    callAndExecute([&](ForwardActions& actions) { m_engine.onServerRequestFailed(id, failure, m_now, actions); });
}

void ForwardTestBed::crashServersInFlight()
{
    for (const auto& it : serverRequests())
        failServerRequest(it.id, ServerRequestFailure::Broken);
}

std::vector<SendServerRequest> ForwardTestBed::serverRequests() const
{
    std::vector<SendServerRequest> serverRequests;
    for (const auto& [name, server] : m_servers) {
        for (const auto& [end, serverRequest] : server.running)
            serverRequests.push_back(serverRequest);
        serverRequests.insert(serverRequests.end(), server.waiting.begin(), server.waiting.end());
    }
    std::sort(serverRequests.begin(), serverRequests.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return serverRequests;
}

const ForwardAnswer* ForwardTestBed::answerTo(RequestNumber number) const
{
    const auto it = m_outcomes.find(number);
    return it == m_outcomes.end() ? nullptr : &it->second.answer;
}

void ForwardTestBed::execute(const ForwardActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* serverRequest = std::get_if<SendServerRequest>(&action)) {
            arrive(*serverRequest);
        } else if (const auto* cancel = std::get_if<CancelServerRequest>(&action)) {
            ++m_cancelledRequests;
            forget(cancel->id);
        } else if (const auto* discard = std::get_if<DiscardServerResponse>(&action)) {
            m_discardedResponses.push_back(discard->id);
        } else if (const auto* check = std::get_if<CheckServer>(&action)) {
            callAndExecute([&](ForwardActions& more) { m_engine.onServerChecked(check->server.name, m_serverCheck, m_now, more); });
        } else if (const auto* delegation = std::get_if<DelegateShards>(&action)) {
            m_delegations.push_back(*delegation);
        } else if (std::get_if<CancelDelegation>(&action)) {
            ++m_cancelledDelegations;
        } else if (const auto* grant = std::get_if<GrantExtraAttempts>(&action)) {
            m_grantedDelegations.push_back(grant->id);
        } else if (const auto* request = std::get_if<RequestExtraAttempts>(&action)) {
            m_extraAttemptRequests.push_back(*request);
        } else if (const auto* crash = std::get_if<AnnounceContentCrash>(&action)) {
            m_announcedCrashes.push_back(*crash);
        } else if (const auto* report = std::get_if<ReportContentCrash>(&action)) {
            m_reportedCrashes.push_back(*report);
        } else if (const auto* deliver = std::get_if<DeliverForwardAnswer>(&action)) {
            const auto number = deliver->answer.request;
            m_outcomes.emplace(number, Outcome { deliver->answer, m_now - m_started.at(number) });
        }
    }
}

}
