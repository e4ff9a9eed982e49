#include "soak_test_bed.h"

#include "http/http_client_connection.h"
#include "placement/zone_drains.h"

#include <boost/asio/strand.hpp>

#include <csignal>
#include <set>

namespace lycheefield::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t shardCount = 20;
constexpr std::size_t serversPerService = 2; ///< Those of one shard are in different zones, so that each zone lacks some shards.
constexpr std::size_t topRecords = 5;
constexpr std::size_t maxRuns = 2;
constexpr std::size_t minShards = 15;
constexpr Duration recoveryTime = 12s;
constexpr Duration faultPhase = 8s;
constexpr Duration calmPhase = 9s;
constexpr Duration crashingInterval = 700ms;
constexpr std::size_t crashingPerContent = 24; ///< Attempts of one crashing request, before another one comes.
constexpr std::size_t callerAddresses = 4; ///< From which a crashing request comes to each gateway.
constexpr double limitPerSecond = 5; ///< That a server advertises in a calm phase.
constexpr double minServedAfterRecovery = 0.9; ///< Share of the requests sent after the recovery time.

}

const std::vector<std::string> SoakTestBed::zones { "a", "b", "c" };

std::set<std::string> SoakTestBed::shardNames()
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < shardCount; ++i)
        names.insert("shard" + std::to_string(i));
    return names;
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
    , m_peerLinks(m_io)
    , m_faultLog(m_settings.folder + "/faults.log")
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
        const auto name = "g" + std::to_string(i);
        node->storeLink = std::make_unique<FaultLink>(m_io, storeEndpointFor(name));
        node->process = std::make_unique<GatewayProcess>(m_settings.program, m_settings.folder, name, zones[i % zones.size()], node->storeLink->endpoint(), GatewayProcessOptions { .settings = "[gateway]\nzone_drain_limit = 3000ms\n", .maxDescriptors = maxDescriptors });
        node->process->start();
        for (std::size_t n = 0; n < callerAddresses; ++n)
            node->callerLinks.push_back(std::make_unique<FaultLink>(m_io, node->process->callers(), "127.0.0." + std::to_string(2 + n)));
        m_nodes.push_back(std::move(node));
    }
}

SoakTestBed::~SoakTestBed() = default;

Endpoint SoakTestBed::storeEndpointFor(const std::string& gateway)
{
    const auto rewrite = [this, gateway](const std::string& kind, const std::string& name, const std::string& spec) {
        return kind == "gateways" ? m_peerLinks.entryFor(gateway, name, spec) : spec;
    };
    return m_store.listenFor(rewrite).value();
}

void SoakTestBed::addBackend(const std::string& service, std::size_t number, const std::string& zone)
{
    const auto name = service + "-" + std::to_string(number);
    m_backends.push_back(std::make_unique<SoakBackend>(m_io, service, name, zone, m_checker, m_crashing, m_random));
    m_store.put("servers", name, m_backends.back()->entry(false));
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

void SoakTestBed::countFault(const std::string& fault, const std::string& detail)
{
    ++m_faults[fault];
    logEvent(fault, detail);
}

void SoakTestBed::logEvent(const std::string& event, const std::string& detail)
{
    // Like at_us in the logs of the gateways.
    m_faultLog << "{\"at_us\":" << m_clock.now().time_since_epoch().count() << R"(,"fault":")" << event << R"(","detail":")" << detail << "\"}" << std::endl;
}

bool SoakTestBed::isUndisturbed(const Node& node) const
{
    const auto now = m_clock.now();
    return node.disturbedUntil != never && m_storeDisturbedUntil != never && now > node.disturbedUntil + settlingTime && now > m_storeDisturbedUntil + settlingTime;
}

bool SoakTestBed::hasSoundPeers(const Node& node) const
{
    return node.peerFaults == 0 && m_clock.now() > node.peersDisturbedUntil + settlingTime;
}

bool SoakTestBed::areAllUndisturbed() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& it) { return isUndisturbed(*it); });
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
        countFault("server fails");
        return server.setFaults({ 5ms, 0.5, 0, 0 });
    case 1:
        countFault("server refuses");
        return server.setFaults({ 5ms, 0, 0.7, 0 });
    case 2:
        countFault("server loses responses");
        return server.setFaults({ 5ms, 0, 0, 0.3 });
    case 3:
        countFault("server slow");
        return server.setFaults({ 300ms, 0, 0, 0 });
    case 8:
    case 9:
        countFault("server crashes by itself");
        return server.crash();
    case 4:
        countFault("server link blocked");
        return server.link().setFaults({ {}, m_random.below(2) == 0, true, false });
    case 5:
        countFault("server link reset");
        return server.link().reset();
    case 6:
        countFault("server link stalled permanently");
        return server.link().stall();
    default:
        countFault("server refuses connections");
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
    m_crashing.onSent(request, isUndisturbed(*node) && hasSoundPeers(*node) && node->isExpectedToRun, m_clock.now());
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
    watchLoop(m_clock.now());
    watchDescriptors();
    runFor(4s);
    m_isSending = true;
    sendNext();
    sendCrashing();
    injectPeerFault();
    auto end = m_clock.now() + m_settings.duration;
    while (m_clock.now() < end) {
        m_isInjectingPeerFaults = m_random.below(3) > 0;
        m_isInjecting = true;
        injectFault();
        runFor(faultPhase);
        m_isInjecting = false;
        auto& limited = *m_backends[m_random.below(m_backends.size())];
        limited.setLimit(limitPerSecond);
        runFor(calmPhase / 2);
        countFault("limit", limited.name());
        limited.checkLimit();
        changeStore();
        runFor(calmPhase / 2);
        limited.setLimit(std::nullopt);
        if (m_random.below(2) == 0)
            continue;
        // Without other faults the changes concern all gateways.
        m_isInjectingPeerFaults = true;
        changeStore();
        runFor(faultPhase);
        end += faultPhase;
    }
    m_isInjectingPeerFaults = false;
    m_peerLinks.clearFaults();
    // A drain that the store lost is kept for so long, also if it has ended meanwhile, and its zone serves nothing.
    const auto drainsKeptUntil = m_storeRestoredAt + ZoneDrains::keptInNewEpoch + settlingTime;
    runFor(std::max<Duration>(recoveryTime, drainsKeptUntil - m_clock.now()));
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
    checkQuotaRoles();
    m_faults["crash by a request"] = m_crashing.crashes();
    printSummary();
    return m_checker.violations().empty();
}

}
