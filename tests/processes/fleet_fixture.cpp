#include "fleet_fixture.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <numeric>
#include <sstream>

namespace lycheefield {

namespace {

namespace json = boost::json;

const std::vector<std::string> zones { "a", "b", "c" };
constexpr std::size_t serversPerZone = 4;
constexpr Duration askPeriod = 50ms;
/// After the limit, so that several requests of each caller show whether it is kept.
constexpr Duration extraTime = 400ms;
/// Of each gateway's log, in the report of a change.
constexpr std::size_t shownLines = 3;
constexpr unsigned notFound = 404;
const std::string lastingRoute = "lasting";

std::string routeName(std::uint64_t version)
{
    return "r" + std::to_string(version);
}

std::string routeText(const std::string& name)
{
    return R"({"name":")" + name + R"(","host":"a.example","pathPrefix":"/)" + name + R"(/","routeType":"idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":1,"service":"x","attempts":2})";
}

std::string inMillis(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

}

CountingServer::CountingServer(boost::asio::io_context& io, std::string name, std::string zone, std::string service)
    : m_io(io)
    , m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_service(std::move(service))
    , m_server(io, *this, std::make_shared<SteadyClock>(), std::make_shared<HttpServerCounters>())
    , m_endpoint(m_server.listen({ "127.0.0.1", 0 }).value())
{
}

void CountingServer::handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    const std::string id(request.headers.find("Lycheefield-Attempt-Id"));
    const auto dash = id.find('-');
    m_requests.push_back({ id.substr(0, dash), TimePoint(Duration(std::stoll(id.substr(dash + 1)))), m_clock.now() });
    if (m_answerTime == Duration {})
        return answer(*exchange, id);
    hold(std::move(exchange), id);
}

void CountingServer::hold(std::shared_ptr<HttpExchange> exchange, const std::string& id)
{
    const auto number = m_requests.size();
    auto& held = m_held.emplace(number, HeldRequest { std::move(exchange), boost::asio::steady_timer(m_io, m_answerTime) }).first->second;
    // Posted, as the function belongs to the exchange that it ends.
    held.exchange->onDisconnect([this, number] { boost::asio::post(m_io, [this, number] { m_held.erase(number); }); });
    held.timer.async_wait([this, number, id](const boost::system::error_code& ec) {
        const auto it = m_held.find(number);
        if (ec || it == m_held.end())
            return;
        answer(*it->second.exchange, id);
        m_held.erase(it);
    });
}

void CountingServer::answer(HttpExchange& exchange, const std::string& id) const
{
    HttpResponse response { 200, "text/plain", "done" };
    response.headers.add("Lycheefield-Response-Stamp", m_name);
    response.headers.add("Lycheefield-Attempt-Id", id);
    exchange.respond(std::move(response));
}

std::string CountingServer::entry(bool isDraining)
{
    return R"({"service":")" + m_service + R"(","address":")" + m_endpoint.toString() + R"(","zone":")" + m_zone + R"(","version":"v1","slots":16,"state":")" + (isDraining ? "draining" : "ready")
        + R"(","warmupLeftMs":0,"sequence":)" + std::to_string(++m_sequence) + "}";
}

std::map<std::string, std::size_t> CountingServer::requestsAfter(TimePoint time) const
{
    std::map<std::string, std::size_t> counts;
    for (const auto& it : m_requests)
        counts[it.gateway] += it.arrivedAt > time ? 1 : 0;
    return counts;
}

std::map<std::string, TimePoint> CountingServer::lastSent() const
{
    std::map<std::string, TimePoint> last;
    for (const auto& it : m_requests)
        last[it.gateway] = it.sentAt;
    return last;
}

RouteProbe::RouteProbe(boost::asio::io_context& io, std::string gateway, Endpoint endpoint)
    : m_io(io)
    , m_gateway(std::move(gateway))
    , m_endpoint(std::move(endpoint))
{
}

void RouteProbe::ask()
{
    if (m_isBusy)
        return;
    m_isBusy = true;
    if (m_isConnected)
        return send(lastingRoute);
    m_connection = openHttpConnection(boost::asio::make_strand(m_io), m_endpoint, weak_from_this(), 1s);
}

void RouteProbe::setRoute(const std::string& route)
{
    m_newest = route;
    servedAt.reset();
    refused.clear();
    answered.clear();
}

void RouteProbe::onConnected()
{
    m_isConnected = true;
    send(lastingRoute);
}

void RouteProbe::send(const std::string& route)
{
    m_inFlight = route;
    m_sentAt = m_clock.now();
    const auto id = m_gateway + "-" + std::to_string(m_sentAt.time_since_epoch().count());
    m_connection->send({ "GET", "/" + route + "/1", { { "Host", "a.example" }, { "Lycheefield-Attempt-Id", id }, { "Lycheefield-Deadline-Ms", "2000" } }, "" });
}

void RouteProbe::onResponse(HttpResponse response)
{
    if (m_inFlight == lastingRoute && !m_newest.empty())
        return send(m_newest);
    m_isBusy = false;
    if (m_inFlight != m_newest)
        return;
    answered.push_back(m_sentAt);
    if (response.status == notFound)
        refused.push_back(m_sentAt);
    else if (!servedAt)
        servedAt = m_sentAt;
}

void RouteProbe::onLost(bool, const std::string&)
{
    m_isConnected = false;
    m_isBusy = false;
}

FleetFixture::FleetFixture(std::size_t gateways)
    : m_store(m_io)
    , m_askTimer(m_io)
{
    m_store.setFaults({ .pageSize = 500 });
    for (std::size_t n = 0; n < serversPerZone * zones.size(); ++n) {
        auto& server = m_servers.emplace_back(m_io, "s" + std::to_string(n), zones[n % zones.size()]);
        m_store.put("servers", server.name(), server.entry(false));
    }
    publish();
    m_gateways.resize(gateways);
    for (std::size_t n = 0; n < gateways; ++n)
        startGateway(n);
    ask();
}

void FleetFixture::startGateway(std::size_t n)
{
    const auto name = "g" + std::to_string(n);
    const auto endpoint = m_store.listenFor([this, name](const std::string& kind, const std::string& object, const std::string& spec) { return entryReadBy(name, kind, object, spec); });
    auto& it = m_gateways[n];
    it.process = std::make_unique<GatewayProcess>(LYCHEEFIELD_GATEWAY_PROGRAM, m_folder.path, name, zones[n % zones.size()], endpoint.value());
    it.probe = std::make_shared<RouteProbe>(m_io, name, it.process->callers());
    it.process->start();
}

std::string FleetFixture::entryReadBy(const std::string& reader, const std::string& kind, const std::string& name, const std::string& spec)
{
    if (kind != "gateways" || name == reader)
        return spec;
    auto entry = json::parse(spec).as_object();
    const std::string inner(entry.at("inner").as_string());
    const auto colon = inner.find(':');
    const Endpoint target { inner.substr(0, colon), static_cast<std::uint16_t>(std::stoi(inner.substr(colon + 1))) };
    auto& link = m_links[{ reader, name }];
    // A gateway that has started again listens elsewhere.
    if (!link || link->target() != target) {
        link = std::make_unique<FaultLink>(m_io, target);
        link->setFaults({ .delay = m_delays[{ reader, name }] });
    }
    entry["inner"] = link->endpoint().toString();
    return json::serialize(entry);
}

void FleetFixture::setDelay(std::size_t from, std::size_t to, Duration delay)
{
    const std::pair key(gateway(from).name(), gateway(to).name());
    m_delays[key] = delay;
    if (const auto it = m_links.find(key); it != m_links.end())
        it->second->setFaults({ .delay = delay });
}

void FleetFixture::publish()
{
    ++m_version;
    auto routes = routeText(lastingRoute);
    for (std::uint64_t it = 2; it <= m_version; ++it)
        routes += "," + routeText(routeName(it));
    m_store.put("config", "main", R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)" + routes + R"(],"services":[{"name":"x","maxConns":50}]})");
}

void FleetFixture::addRoute()
{
    publish();
    for (const auto& it : m_gateways)
        it.probe->setRoute(routeName(m_version));
}

void FleetFixture::drainServer(const std::string& zone)
{
    const auto isNext = [&](CountingServer& it) { return it.zone() == zone && std::find(m_draining.begin(), m_draining.end(), &it) == m_draining.end(); };
    const auto server = std::find_if(m_servers.begin(), m_servers.end(), isNext);
    REQUIRE(server != m_servers.end());
    m_draining.push_back(&*server);
    m_store.put("servers", server->name(), server->entry(true));
}

void FleetFixture::refreshServer()
{
    auto& server = m_servers.back();
    m_store.put("servers", server.name(), server.entry(false));
}

void FleetFixture::ask()
{
    for (const auto& it : m_gateways)
        it.probe->ask();
    m_askTimer.expires_after(askPeriod);
    m_askTimer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            ask();
    });
}

void FleetFixture::runFor(Duration time)
{
    m_io.restart();
    m_io.run_for(time);
}

bool FleetFixture::isInForceEverywhere() const
{
    return std::all_of(m_gateways.begin(), m_gateways.end(), [](const Gateway& it) { return it.probe->servedAt.has_value(); });
}

bool FleetFixture::isAppliedFromPeer(std::size_t n) const
{
    std::istringstream log(m_gateways[n].process->log());
    for (std::string line; std::getline(log, line);) {
        if (line.find("\"configuration applied\"") == std::string::npos || line.find("\"version\":\"" + std::to_string(m_version) + "\"") == std::string::npos)
            continue;
        return line.find("\"from\":\"store\"") == std::string::npos;
    }
    return false;
}

bool FleetFixture::settle()
{
    return waitUntil([this] {
        addRoute();
        if (!waitUntil([this] { return isInForceEverywhere(); }))
            return false;
        std::size_t fromPeer = 0;
        for (std::size_t n = 0; n < size(); ++n) {
            const bool isFromPeer = isAppliedFromPeer(n);
            fromPeer += isFromPeer ? 1 : 0;
            m_first = isFromPeer ? m_first : n;
        }
        return fromPeer + 1 == size();
    });
}

ChangeOutcome FleetFixture::playChange()
{
    return playChange([this] {
        for (const auto& it : zones)
            drainServer(it);
    });
}

ChangeOutcome FleetFixture::playChange(const std::function<void()>& drain)
{
    addRoute();
    drain();
    const auto begin = m_clock.now();
    const auto calls = m_store.calls();
    runFor(limit + extraTime);
    ChangeOutcome outcome;
    outcome.callsPerSecond = static_cast<double>(m_store.calls() - calls) / std::chrono::duration<double>(m_clock.now() - begin).count();
    for (std::size_t n = 0; n < size(); ++n)
        judge(n, begin, outcome);
    return outcome;
}

void FleetFixture::judge(std::size_t n, TimePoint begin, ChangeOutcome& outcome) const
{
    const auto& name = m_gateways[n].process->name();
    const auto& probe = *m_gateways[n].probe;
    const auto isLate = [&](TimePoint sentAt) { return sentAt > begin + limit; };
    std::size_t reached = 0;
    outcome.report += name + " in zone " + m_gateways[n].process->zone() + ": route " + (probe.servedAt ? "after " + inMillis(*probe.servedAt - begin) : "not served");
    for (const auto* it : m_draining) {
        reached += it->requestsAfter(begin + limit)[name];
        const auto last = it->lastSent();
        if (const auto sent = last.find(name); sent != last.end() && sent->second > begin)
            outcome.report += ", last to " + it->name() + " after " + inMillis(sent->second - begin);
    }
    outcome.report += "\n" + originLines(n);
    if (std::any_of(probe.refused.begin(), probe.refused.end(), isLate))
        outcome.late += name + ": 404 on the added route; ";
    if (std::none_of(probe.answered.begin(), probe.answered.end(), isLate))
        outcome.late += name + ": no answer on the added route; ";
    if (reached > 0)
        outcome.late += name + ": requests to a draining server; ";
}

std::string FleetFixture::originLines(std::size_t n) const
{
    std::deque<std::string> newest;
    std::istringstream log(m_gateways[n].process->log());
    for (std::string line; std::getline(log, line);) {
        if (line.find("\"from\":") == std::string::npos && line.find("store responded") == std::string::npos)
            continue;
        newest.push_back("    " + line + "\n");
        if (newest.size() > shownLines)
            newest.pop_front();
    }
    return std::accumulate(newest.begin(), newest.end(), std::string());
}

}
