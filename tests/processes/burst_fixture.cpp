#include "burst_fixture.h"

#include <algorithm>
#include <sstream>

namespace lycheefield {

namespace {

constexpr std::size_t burstCallers = 16;
constexpr std::size_t slowServices = 20;
constexpr std::size_t quickServices = 4;
constexpr std::size_t serversPerService = 2;
/// With the others more than the half of few descriptors that callers may use.
constexpr std::size_t silentCallers = 48;
constexpr Duration askPeriod = 50ms;
/// Longer than a watch of the store lasts, so that the next one begins in the burst.
constexpr Duration burstLead = 2s;
/// After the limit, so that several requests of each caller show whether it is kept.
constexpr Duration extraTime = 1s;
const std::string lastingRoute = "lasting";
const std::string slowSearch = "slow";
const std::string quickSearch = "quick";

std::string routeText(const std::string& name, const std::string& target, const std::string& latencies)
{
    return R"({"name":")" + name + R"(","host":"a.example","pathPrefix":"/)" + name + R"(/","routeType":"idempotent","priority":1,"attempts":2,)" + latencies + "," + target + "}";
}

std::string shardsText(const std::string& prefix, std::size_t services)
{
    std::string shards;
    for (std::size_t n = 0; n < services; ++n)
        shards += (n == 0 ? "\"" : ",\"") + prefix + std::to_string(n) + "\"";
    return R"("topK":50,"minShardRatio":0.5,"gather":[)" + shards + "]";
}

std::string inMillis(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

}

BurstCaller::BurstCaller(boost::asio::io_context& io, Endpoint endpoint, std::string route)
    : m_io(io)
    , m_endpoint(std::move(endpoint))
    , m_route(std::move(route))
{
}

void BurstCaller::ask(const std::string& route)
{
    if (m_isBusy)
        return;
    m_isBusy = true;
    m_asked = route;
    status = 0;
    missingParts.clear();
    if (m_isConnected)
        return send();
    m_connection = openHttpConnection(boost::asio::make_strand(m_io), m_endpoint, weak_from_this(), 1s);
}

void BurstCaller::send()
{
    const auto now = std::to_string(m_clock.now().time_since_epoch().count());
    m_connection->send({ "GET", "/" + m_asked + "/" + now, { { "Host", "a.example" }, { "Lycheefield-Attempt-Id", "burst-" + now }, { "Lycheefield-Deadline-Ms", "3000" } }, "" });
}

void BurstCaller::onConnected()
{
    m_isConnected = true;
    send();
}

void BurstCaller::onResponse(HttpResponse response)
{
    m_isBusy = false;
    status = response.status;
    missingParts = response.headers.find("Lycheefield-Missing-Parts");
    ++answers;
}

void BurstCaller::onLost(bool, const std::string&)
{
    m_isConnected = false;
    m_isBusy = false;
}

BurstFixture::BurstFixture(std::uint64_t maxDescriptors)
{
    store.setFaults({ .pageSize = 500 });
    store.remove("servers", "i-1");
    for (std::size_t n = 0; n < serversPerService; ++n) {
        addServer("x", false);
        for (std::size_t service = 0; service < quickServices; ++service)
            addServer("quick" + std::to_string(service), false);
        for (std::size_t service = 0; service < slowServices; ++service)
            addServer("slow" + std::to_string(service), true);
    }
    publish();
    m_process = std::make_unique<GatewayProcess>(LYCHEEFIELD_GATEWAY_PROGRAM, folder.path, "g1", "a", storeEndpoint, GatewayProcessOptions { .maxDescriptors = maxDescriptors });
    m_process->start();
    REQUIRE(becomesReady(*m_process));
    m_probe = std::make_shared<RouteProbe>(io, "g1", m_process->callers());
    m_quickCaller = std::make_shared<BurstCaller>(io, m_process->callers(), quickSearch);
    for (std::size_t n = 0; n < burstCallers; ++n)
        m_callers.push_back(std::make_shared<BurstCaller>(io, m_process->callers(), slowSearch));
    // The callers connect before the descriptors are used up.
    for (const auto& it : m_callers)
        it->ask(lastingRoute);
    m_quickCaller->ask(lastingRoute);
    addRoute();
    REQUIRE(waitUntil([&] {
        m_probe->ask();
        return m_probe->servedAt && m_quickCaller->answers > 0 && std::all_of(m_callers.begin(), m_callers.end(), [](const auto& it) { return it->answers > 0; });
    }));
}

void BurstFixture::addServer(const std::string& service, bool isSlow)
{
    auto& servers = isSlow ? m_slow : m_quick;
    auto& server = servers.emplace_back(io, service + "-" + std::to_string(servers.size()), "a", service);
    store.put("servers", server.name(), server.entry(false));
    const auto text = R"({"name":")" + service + R"(","maxConns":200})";
    if (m_services.find(text) == std::string::npos)
        m_services += (m_services.empty() ? "" : ",") + text;
}

void BurstFixture::publish()
{
    ++m_version;
    const std::string inTime = R"("timeoutMs":2500,"targetLatencyMs":400)";
    auto routes = routeText(lastingRoute, R"("service":"x")", inTime) + "," + routeText(quickSearch, shardsText("quick", quickServices), inTime) + ","
        + routeText(slowSearch, shardsText("slow", slowServices), R"("timeoutMs":3000,"targetLatencyMs":2500)");
    for (std::uint64_t it = 2; it <= m_version; ++it)
        routes += "," + routeText("r" + std::to_string(it), R"("service":"x")", inTime);
    store.put("config", "main", R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)" + routes + R"(],"services":[)" + m_services + "]}");
    m_changedAt = clock.now();
    m_routeAddedAt = m_changedAt;
}

void BurstFixture::addRoute()
{
    publish();
    m_probe->setRoute("r" + std::to_string(m_version));
}

void BurstFixture::drainServers()
{
    for (auto* servers : { &m_quick, &m_slow }) {
        for (std::size_t n = 0; n < servers->size() / serversPerService; ++n)
            m_draining.push_back(&(*servers)[n]);
    }
    for (auto* it : m_draining)
        store.put("servers", it->name(), it->entry(true));
    m_changedAt = clock.now();
}

void BurstFixture::fillCallers()
{
    const auto endpoint = m_process->callers();
    for (std::size_t n = 0; n < silentCallers; ++n) {
        m_silentCallers.emplace_back(io);
        m_silentCallers.back().connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
    }
}

void BurstFixture::beginBurst(Duration answerTime)
{
    for (auto& it : m_slow)
        it.setAnswerTime(answerTime);
    m_isBursting = true;
    run(burstLead);
}

void BurstFixture::endBurst()
{
    m_isBursting = false;
    for (auto& it : m_slow)
        it.setAnswerTime({});
    const auto isAnswered = [&] { return !m_quickCaller->isBusy() && std::none_of(m_callers.begin(), m_callers.end(), [](const auto& it) { return it->isBusy(); }); };
    REQUIRE(waitUntil([&] { return isAnswered() && std::none_of(m_slow.begin(), m_slow.end(), [](const auto& it) { return it.holdsRequests(); }); }));
}

void BurstFixture::tick()
{
    m_probe->ask();
    if (m_isBursting) {
        for (const auto& it : m_callers)
            it->ask();
        // Later than the others, so that its connections are wanted when the descriptors are used up.
        runFor(askPeriod);
        m_quickCaller->ask();
    }
    if (m_checksReadiness) {
        m_checks.push_back({ std::make_shared<ReadinessProbe>(), clock.now() });
        m_checks.back().probe->send(io, m_process->readiness());
    }
    for (auto& it : m_checks)
        it.isLate = it.isLate || (!it.probe->status && clock.now() > it.sentAt + limit);
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(m_process->pid()) + "/fd");
    m_mostDescriptors = std::max<std::size_t>(m_mostDescriptors, std::distance(begin(descriptors), end(descriptors)));
    runFor(askPeriod);
}

void BurstFixture::run(Duration time)
{
    const auto until = clock.now() + time;
    while (clock.now() < until)
        tick();
}

void BurstFixture::awaitLimit()
{
    run(m_changedAt + limit + extraTime - clock.now());
    REQUIRE(waitUntil([&] {
        tick();
        return !m_probe->answered.empty() && m_probe->answered.back() > m_changedAt + limit;
    }));
}

void BurstFixture::checkReadiness()
{
    m_checksReadiness = true;
    run(limit);
    m_checksReadiness = false;
    run(limit + extraTime);
}

bool BurstFixture::isRouteInForce() const
{
    return std::none_of(m_probe->refused.begin(), m_probe->refused.end(), [&](TimePoint sentAt) { return sentAt > m_changedAt + limit; });
}

std::size_t BurstFixture::lateRequests() const
{
    std::size_t late = 0;
    for (const auto* it : m_draining) {
        for (const auto& [caller, n] : it->requestsAfter(m_changedAt + limit))
            late += n;
    }
    return late;
}

std::size_t BurstFixture::failedChecks() const
{
    REQUIRE_FALSE(m_checks.empty());
    return static_cast<std::size_t>(std::count_if(m_checks.begin(), m_checks.end(), [](const auto& it) { return it.isLate || it.probe->status != 200U; }));
}

std::string BurstFixture::searchQuickServers()
{
    return search(quickSearch);
}

std::string BurstFixture::searchSlowServers()
{
    return search(slowSearch);
}

std::string BurstFixture::search(const std::string& route)
{
    m_quickCaller->ask(route);
    REQUIRE(waitUntil([&] { return !m_quickCaller->isBusy(); }));
    return "status " + std::to_string(m_quickCaller->status) + ", parts missing: " + m_quickCaller->missingParts;
}

std::vector<std::string> BurstFixture::linesWith(const std::string& text) const
{
    std::vector<std::string> lines;
    std::istringstream log(m_process->log());
    for (std::string line; std::getline(log, line);) {
        if (line.find(text) != std::string::npos)
            lines.push_back(line);
    }
    return lines;
}

std::string BurstFixture::report() const
{
    std::optional<TimePoint> lastToDraining;
    for (const auto* it : m_draining) {
        for (const auto& [caller, sentAt] : it->lastSent())
            lastToDraining = std::max(lastToDraining.value_or(sentAt), sentAt);
    }
    std::ostringstream text;
    text << "newest route " << (m_probe->servedAt ? "served after " + inMillis(*m_probe->servedAt - m_routeAddedAt) : "not served") << ", refused " << m_probe->refused.size() << " times; ";
    if (!m_checks.empty())
        text << failedChecks() << " of " << m_checks.size() << " readiness checks not answered with 200 within the limit; ";
    if (lastToDraining)
        text << "draining servers reached until " << inMillis(*lastToDraining - m_changedAt) << " after the change, " << lateRequests() << " times late; ";
    text << "at most " << m_mostDescriptors << " descriptors open; log lines with 'Too many open files': " << linesWith("Too many open files").size() << ", with no_local_resources: " << linesWith("no_local_resources").size();
    return text.str();
}

std::string BurstFixture::storeLines() const
{
    std::string text;
    for (const auto* it : { "the store", "configuration applied", "not proven current" }) {
        for (const auto& line : linesWith(it))
            text += "    " + line + "\n";
    }
    return text;
}

}
