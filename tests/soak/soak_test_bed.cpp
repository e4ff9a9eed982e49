#include "soak_test_bed.h"

#include "http/http_client_connection.h"

#include <boost/asio/strand.hpp>

#include <csignal>
#include <iostream>
#include <set>

namespace lycheefield::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t shardCount = 20;
constexpr std::size_t serversPerService = 2; ///< Those of one shard are in different zones, so that each zone lacks some shards.
constexpr std::size_t topRecords = 5;
constexpr std::size_t maxRuns = 2;
constexpr std::size_t minShards = 15;
constexpr Duration settlingTime = 4s; ///< Time from the end of a fault until the guarantees with a time bound hold again.
constexpr Duration drainLimit = 3s; ///< Time from the drain mark after which the server must get no more requests.
constexpr Duration applyLimit = 3s; ///< Time from publication until a configuration must be in force.
constexpr Duration recoveryTime = 12s;
constexpr Duration faultPhase = 8s;
constexpr Duration calmPhase = 9s;
constexpr Duration crashingInterval = 700ms;
constexpr std::size_t crashingPerContent = 24; ///< Attempts of one crashing request, before another one comes.
constexpr std::size_t callerAddresses = 4; ///< From which a crashing request comes to each gateway.
constexpr double limitPerSecond = 5; ///< That a server advertises in a calm phase.
constexpr double minServedAfterRecovery = 0.9; ///< Share of the requests sent after the recovery time.
const std::vector<std::string> storeFaultNames { "store busy", "store silent", "store sends rubbish", "store drops its history", "store drops its history" };
const std::vector<std::string> storeRubbish { R"({"items\)", R"({"items":[{"meta":7}],"atRev":"x"})", "[[[[", "{}" };
const std::vector<std::string> zones { "a", "b", "c" };

std::set<std::string> shardNames()
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < shardCount; ++i)
        names.insert("shard" + std::to_string(i));
    return names;
}

}

/// A caller with one connection and one request at a time. The connection is reused until the gateway closes it.
class SoakTestBed::Caller final : public HttpClientEvents, public std::enable_shared_from_this<Caller> {
public:
    Caller(SoakTestBed& testBed, Node& node)
        : m_testBed(testBed)
        , m_node(node)
    {
    }
    void open() { open(m_node.process->callers()); }
    void open(const Endpoint& endpoint) { m_connection = openHttpConnection(boost::asio::make_strand(m_testBed.m_io), endpoint, weak_from_this(), 1s); }
    /// Disconnects without waiting for the answer.
    void leave()
    {
        m_connection->close();
        onLost(false, "");
    }
    void send(const SoakRequest& request)
    {
        m_request = request;
        m_wasUndisturbed = m_testBed.isUndisturbed(m_node);
        m_isBusy = true;
        if (m_isConnected)
            transmit();
    }
    void onConnected() override
    {
        m_isConnected = true;
        if (m_isBusy)
            transmit();
    }
    void onResponse(HttpResponse response) override
    {
        const bool isLast = response.headers.find("Connection") == "close";
        if (std::exchange(m_isBusy, false))
            m_testBed.m_checker.onOutcome(m_request.id, { true, std::move(response), false });
        else
            m_testBed.m_checker.fail("a gateway sent an answer without a pending request");
        isClosed = isClosed || isLast;
    }
    void onLost(bool handed, const std::string&) override
    {
        isClosed = true;
        // A gateway must not cut off a request that a server runs; after a fault there is no such guarantee.
        const bool isUnexpected = handed && m_wasUndisturbed && m_node.isExpectedToRun && m_node.process->isRunning();
        if (std::exchange(m_isBusy, false))
            m_testBed.m_checker.onOutcome(m_request.id, { false, {}, isUnexpected && m_testBed.isUndisturbed(m_node) });
    }
    bool isFree() const { return !m_isBusy && !isClosed && !isSingleUse; }
    bool isAt(const Node& node) const { return &m_node == &node; }

    bool isClosed = false;
    bool isSingleUse = false; ///< Connected through a link of the node.

private:
    void transmit()
    {
        m_connection->send({ m_request.method, m_request.target,
            { { "Host", "a.example" }, { "Lycheefield-Attempt-Id", m_request.id }, { "Lycheefield-Deadline-Ms", "2500" } }, m_request.body });
    }

    SoakTestBed& m_testBed;
    Node& m_node;
    std::shared_ptr<HttpClientConnection> m_connection;
    SoakRequest m_request;
    bool m_wasUndisturbed = false;
    bool m_isConnected = false;
    bool m_isBusy = false;
};

SoakTestBed::SoakTestBed(SoakSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_checker(shardNames(), topRecords, maxRuns, minShards)
    , m_store(m_io)
    , m_storeEndpoint(m_store.listen().value())
{
    m_store.setFaults({ .pageSize = 500 });
    std::size_t place = 0;
    for (const auto& it : shardNames()) {
        ++place;
        for (std::size_t n = 0; n < serversPerService; ++n)
            addBackend(it, n, zones[(place + n) % zones.size()]);
    }
    for (std::size_t n = 0; n < zones.size(); ++n)
        addBackend("orders", n, zones[n]);
    publishConfiguration();
    for (std::size_t i = 0; i < m_settings.gateways; ++i) {
        auto node = std::make_unique<Node>();
        node->storeLink = std::make_unique<FaultLink>(m_io, m_storeEndpoint);
        node->process = std::make_unique<GatewayProcess>(m_settings.program, m_settings.folder, "g" + std::to_string(i), zones[i % zones.size()], node->storeLink->endpoint(), GatewayProcessOptions { .settings = "[gateway]\nzone_drain_limit = 3000ms\n", .maxDescriptors = maxDescriptors });
        node->process->start();
        for (std::size_t n = 0; n < callerAddresses; ++n)
            node->callerLinks.push_back(std::make_unique<FaultLink>(m_io, node->process->callers(), "127.0.0." + std::to_string(2 + n)));
        m_nodes.push_back(std::move(node));
    }
}

SoakTestBed::~SoakTestBed() = default;

void SoakTestBed::addBackend(const std::string& service, std::size_t number, const std::string& zone)
{
    const auto name = service + "-" + std::to_string(number);
    m_backends.push_back(std::make_unique<SoakBackend>(m_io, service, name, zone, m_checker, m_crashing, m_random));
    m_store.put("servers", name, m_backends.back()->entry(false));
}

void SoakTestBed::publishConfiguration()
{
    std::string shards;
    std::string services = R"({"name":"orders","maxConns":200})";
    for (const auto& it : shardNames()) {
        shards += (shards.empty() ? "\"" : ",\"") + it + "\"";
        services += R"(,{"name":")" + it + R"(","maxConns":200})";
    }
    m_store.put("config", "main",
        R"({"version":)" + std::to_string(m_version) + R"(,"routes":[{"name":"s","host":"a.example","pathPrefix":"/s/","routeType":"idempotent","timeoutMs":2500,"targetLatencyMs":200,"priority":0,"gather":[)"
            + shards + R"(],"attempts":2,"topK":5,"minShardRatio":0.75},{"name":"o","host":"a.example","pathPrefix":"/o/","routeType":"non_idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":1,"service":"orders","attempts":2},{"name":"v","host":"a.example","pathPrefix":"/v)"
            + std::to_string(m_version) + R"(/","routeType":"non_idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":1,"service":"orders","attempts":2}],"services":[)"
            + services + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
}

Duration SoakTestBed::randomDuration(Duration min, Duration max)
{
    return min + Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>((max - min).count()))));
}

void SoakTestBed::runAfter(Duration time, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, time);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code&) { action(); });
}

void SoakTestBed::runFor(Duration time)
{
    m_io.restart();
    m_io.run_for(time);
}

bool SoakTestBed::isUndisturbed(const Node& node) const
{
    const auto now = m_clock.now();
    return node.disturbedUntil != never && m_storeDisturbedUntil != never && now > node.disturbedUntil + settlingTime && now > m_storeDisturbedUntil + settlingTime;
}

bool SoakTestBed::areAllUndisturbed() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& it) { return isUndisturbed(*it); });
}

void SoakTestBed::injectStoreFault()
{
    const auto time = randomDuration(300ms, 5s);
    m_storeDisturbedUntil = never;
    const auto kind = m_random.below(5);
    ++m_faults[storeFaultNames.at(kind)];
    if (kind < 2)
        m_store.setFaults({ .isBusy = kind == 0, .isSilent = kind == 1, .pageSize = 500 });
    else if (kind == 2)
        m_store.setFaults({ .rubbish = storeRubbish.at(m_random.below(storeRubbish.size())), .pageSize = 500 });
    else
        m_store.forgetHistory();
    // The entry of a server may lapse during an outage; the server registers again soon after the outage.
    auto& lapsed = *m_backends[m_random.below(m_backends.size())];
    const bool lapses = lapsed.drainDeadline == never && kind < 2;
    if (lapses)
        m_store.remove("servers", lapsed.name());
    runAfter(time, [this, &lapsed, lapses] {
        m_store.setFaults({ .pageSize = 500 });
        m_storeDisturbedUntil = m_clock.now();
        if (lapses)
            runAfter(randomDuration(100ms, 1800ms), [this, &lapsed] { m_store.put("servers", lapsed.name(), lapsed.entry(lapsed.drainDeadline != never)); });
    });
}

void SoakTestBed::drain(SoakBackend& server)
{
    if (server.drainDeadline != never || !areAllUndisturbed())
        return;
    ++m_faults["drain"];
    m_store.put("servers", server.name(), server.entry(true));
    server.drainDeadline = m_clock.now() + drainLimit;
    runAfter(drainLimit + 1500ms, [this, &server] {
        server.drainDeadline = never;
        m_store.put("servers", server.name(), server.entry(false));
    });
}

void SoakTestBed::drainZone(const std::string& zone)
{
    if (!areAllUndisturbed())
        return;
    ++m_faults["drain of a zone"];
    m_store.put("evacuations", zone, "{}");
    const auto setDeadlines = [this, zone](TimePoint deadline) {
        for (const auto& it : m_backends) {
            if (it->zone() == zone)
                it->zoneDrainDeadline = deadline;
        }
    };
    setDeadlines(m_clock.now() + drainLimit);
    runAfter(drainLimit + 1400ms, [this, zone, setDeadlines] {
        setDeadlines(never);
        m_store.remove("evacuations", zone);
    });
}

void SoakTestBed::injectServerFault()
{
    auto& server = *m_backends[m_random.below(m_backends.size())];
    const auto time = randomDuration(300ms, 4s);
    const auto clearFaults = [&server] {
        server.setFaults({});
        server.link().setFaults({});
    };
    runAfter(time, clearFaults);
    switch (m_random.below(10)) {
    case 0:
        ++m_faults["server fails"];
        return server.setFaults({ 5ms, 0.5, 0, 0 });
    case 1:
        ++m_faults["server refuses"];
        return server.setFaults({ 5ms, 0, 0.7, 0 });
    case 2:
        ++m_faults["server loses responses"];
        return server.setFaults({ 5ms, 0, 0, 0.3 });
    case 3:
        ++m_faults["server slow"];
        return server.setFaults({ 300ms, 0, 0, 0 });
    case 8:
    case 9:
        ++m_faults["server crashes by itself"];
        return server.crash();
    case 4:
        ++m_faults["server link blocked"];
        return server.link().setFaults({ {}, m_random.below(2) == 0, true, false });
    case 5:
        ++m_faults["server link reset"];
        return server.link().reset();
    case 6:
        ++m_faults["server link stalled permanently"];
        return server.link().stall();
    default:
        ++m_faults["server refuses connections"];
        server.link().setFaults({ {}, false, false, true });
        server.link().reset();
    }
}

void SoakTestBed::injectFault()
{
    if (!m_isInjecting)
        return;
    const auto kind = m_random.below(10);
    if (kind < 4)
        injectGatewayFault(*m_nodes[m_random.below(m_nodes.size())]);
    else if (kind < 5 && m_storeDisturbedUntil != never)
        injectStoreFault();
    else
        injectServerFault();
    runAfter(randomDuration(100ms, 900ms), [this] { injectFault(); });
}

SoakRequest SoakTestBed::newRequest(const Node& node, bool isSearch, const std::string& prefix)
{
    SoakRequest request;
    request.id = "x" + std::to_string(++m_lastRequestNumber);
    request.gateway = node.process->name();
    request.isSearch = isSearch;
    request.isIdempotent = isSearch;
    request.method = isSearch ? "GET" : "POST";
    request.target = prefix + request.id + "?q=1";
    request.body = isSearch ? "" : "order " + request.id;
    return request;
}

void SoakTestBed::send(Node& node)
{
    const bool isSearch = m_random.below(3) > 0;
    sendRequest(node, newRequest(node, isSearch, isSearch ? "/s/" : "/o/"));
}

void SoakTestBed::sendRequest(Node& node, const SoakRequest& request)
{
    std::erase_if(m_callers, [](const auto& it) { return it->isClosed; });
    const auto it = std::find_if(m_callers.begin(), m_callers.end(), [&](const auto& caller) { return caller->isFree() && caller->isAt(node); });
    const auto caller = it == m_callers.end() ? std::make_shared<Caller>(*this, node) : *it;
    m_checker.onSent(request);
    caller->send(request);
    if (it != m_callers.end())
        return;
    m_callers.push_back(caller);
    caller->open();
}

void SoakTestBed::probeConfiguration(std::uint64_t added, std::uint64_t dropped)
{
    for (const auto& it : m_nodes) {
        if (!isUndisturbed(*it) || !it->isExpectedToRun)
            continue;
        for (const auto version : { added, dropped }) {
            auto request = newRequest(*it, false, "/v" + std::to_string(version) + "/");
            request.isRouted = version == added;
            ++m_faults["probe of a changed configuration"];
            sendRequest(*it, request);
        }
    }
}

void SoakTestBed::sendCrashing()
{
    if (!m_isSending)
        return;
    const auto& node = m_nodes[m_random.below(m_nodes.size())];
    const bool isSearch = m_random.below(2) == 0;
    auto request = newRequest(*node, isSearch, isSearch ? "/s/" : "/o/");
    const auto content = std::to_string(m_crashingSent++ / crashingPerContent);
    request.target = (isSearch ? "/s/crash" : "/o/crash") + content;
    request.body = isSearch ? "" : "crash";
    m_crashing.onSent(request, isUndisturbed(*node) && node->isExpectedToRun, m_clock.now());
    m_checker.onSent(request);
    const auto caller = std::make_shared<Caller>(*this, *node);
    caller->send(request);
    caller->open(node->callerLinks[m_random.below(callerAddresses)]->endpoint());
    if (m_random.below(3) == 0) {
        runAfter(randomDuration(10ms, 80ms), [caller] { caller->leave(); });
    } else {
        m_callers.push_back(caller);
        caller->isSingleUse = true;
    }
    runAfter(crashingInterval, [this] { sendCrashing(); });
}

void SoakTestBed::sendNext()
{
    if (!m_isSending)
        return;
    send(*m_nodes[m_random.below(m_nodes.size())]);
    runAfter(m_settings.requestInterval, [this] { sendNext(); });
}

std::size_t SoakTestBed::successesDuring(Duration time)
{
    const auto before = m_checker.successes();
    runFor(time);
    return m_checker.successes() - before;
}

bool SoakTestBed::run()
{
    watchProcesses();
    runFor(4s);
    m_isSending = true;
    sendNext();
    sendCrashing();
    const auto end = m_clock.now() + m_settings.duration;
    while (m_clock.now() < end) {
        m_isInjecting = true;
        injectFault();
        runFor(faultPhase);
        m_isInjecting = false;
        auto& limited = *m_backends[m_random.below(m_backends.size())];
        limited.setLimit(limitPerSecond);
        runFor(calmPhase / 2);
        ++m_faults["limit"];
        limited.checkLimit();
        drain(*m_backends[m_random.below(m_backends.size())]);
        drainZone(zones[m_version % zones.size()]);
        const auto before = m_version;
        m_version += 1 + m_random.below(5);
        publishConfiguration();
        runAfter(applyLimit, [this, added = m_version, before] { probeConfiguration(added, before); });
        runFor(calmPhase / 2);
        limited.setLimit(std::nullopt);
    }
    runFor(recoveryTime);
    const auto before = m_lastRequestNumber;
    const auto served = successesDuring(3s);
    const auto sent = m_lastRequestNumber - before;
    if (static_cast<double>(served) < minServedAfterRecovery * static_cast<double>(sent))
        m_checker.fail("after the last fault only " + std::to_string(served) + " of " + std::to_string(sent) + " requests were served");
    // All gateways are undisturbed by now, so each run has one drain of a zone at least.
    drainZone(zones[m_settings.seed % zones.size()]);
    runFor(drainLimit + 1500ms);
    m_isSending = false;
    runFor(4s);
    m_checker.checkAll();
    m_crashing.check(m_checker);
    m_faults["crash by a request"] = m_crashing.crashes();
    std::cout << "seed=" << m_settings.seed << " requests=" << m_lastRequestNumber << " answered=" << m_checker.answers() << " served=" << m_checker.successes()
              << " checks=" << m_checker.checks() << " broken=" << m_checker.violations().size() << '\n';
    for (const auto& [name, n] : m_faults)
        std::cout << "  fault " << name << ": " << n << '\n';
    for (const auto& [violation, n] : m_checker.violations())
        std::cout << "  BROKEN " << n << " times: " << violation << '\n';
    return m_checker.violations().empty();
}

}
