#include "soak_world.h"

#include "http/http_client_connection.h"

#include <boost/asio/strand.hpp>

#include <csignal>
#include <iostream>
#include <set>
#include <sys/wait.h>

namespace lycheefield::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t shardCount = 9;
constexpr std::size_t serversOfService = 2; ///< In different zones, so that each zone lacks some shards.
constexpr std::size_t topRecords = 5;
constexpr std::size_t maxRuns = 2;
constexpr std::size_t minShards = 7;
constexpr Duration contact = 4s; ///< After a fault, until promises with a time bound hold again.
constexpr Duration drainLimit = 3s;
constexpr Duration applyLimit = 3s; ///< Until a configuration is in force.
constexpr Duration recoveryTime = 12s;
constexpr Duration waveLength = 8s;
constexpr Duration calmLength = 9s;
constexpr double servedAfterRecovery = 0.9;
const std::vector<std::string> zones { "a", "b", "c" };

std::set<std::string> shardNames()
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < shardCount; ++i)
        names.insert("shard" + std::to_string(i));
    return names;
}

}

/// One caller's connection, with one request at a time; it stays with its gateway until that closes it.
class SoakWorld::Caller final : public HttpClientEvents, public std::enable_shared_from_this<Caller> {
public:
    Caller(SoakWorld& world, Node& node)
        : m_world(world)
        , m_node(node)
    {
    }
    void open() { m_connection = openHttpConnection(boost::asio::make_strand(m_world.m_io), m_node.process->callers(), weak_from_this(), 1s); }
    void send(const Attempt& attempt)
    {
        m_attempt = attempt;
        m_isCalm = m_world.isCalm(m_node);
        m_isBusy = true;
        if (m_isConnected)
            handOver();
    }
    void onConnected() override
    {
        m_isConnected = true;
        if (m_isBusy)
            handOver();
    }
    void onResponse(HttpResponse reply) override
    {
        const bool isLast = reply.headers.find("Connection") == "close";
        if (std::exchange(m_isBusy, false))
            m_world.m_promises.onEnd(m_attempt.id, { true, std::move(reply), false });
        else
            m_world.m_promises.fail("an answer came that nobody waited for");
        isOver = isOver || isLast;
    }
    void onLost(bool handed, const std::string&) override
    {
        isOver = true;
        // A stop alone must not cut off what was passed on; after other faults nothing is promised.
        const bool isStopped = handed && m_isCalm && m_node.isMeantToRun && m_node.process->isRunning();
        if (std::exchange(m_isBusy, false))
            m_world.m_promises.onEnd(m_attempt.id, { false, {}, isStopped && m_world.isCalm(m_node) });
    }
    bool isFree() const { return !m_isBusy && !isOver; }
    bool isAt(const Node& node) const { return &m_node == &node; }

    bool isOver = false;

private:
    void handOver()
    {
        m_connection->send({ m_attempt.method, m_attempt.target,
            { { "Host", "a.example" }, { "Lycheefield-Attempt-Id", m_attempt.id }, { "Lycheefield-Deadline-Ms", "2500" } }, m_attempt.body });
    }

    SoakWorld& m_world;
    Node& m_node;
    std::shared_ptr<HttpClientConnection> m_connection;
    Attempt m_attempt;
    bool m_isCalm = false;
    bool m_isConnected = false;
    bool m_isBusy = false;
};

SoakWorld::SoakWorld(SoakSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_promises(shardNames(), topRecords, maxRuns, minShards)
    , m_store(m_io)
    , m_storeEndpoint(m_store.listen().value())
{
    m_store.setFaults({ false, false, 500 });
    std::size_t place = 0;
    for (const auto& it : shardNames()) {
        ++place;
        for (std::size_t n = 0; n < serversOfService; ++n)
            addBackend(it, n, zones[(place + n) % zones.size()]);
    }
    for (std::size_t n = 0; n < zones.size(); ++n)
        addBackend("orders", n, zones[n]);
    publishConfiguration();
    for (std::size_t i = 0; i < m_settings.gateways; ++i) {
        auto node = std::make_unique<Node>();
        node->storeLink = std::make_unique<FaultLink>(m_io, m_storeEndpoint);
        node->process = std::make_unique<GatewayProcess>(m_settings.program, m_settings.folder, "g" + std::to_string(i), zones[i % zones.size()], node->storeLink->endpoint());
        node->process->start();
        m_nodes.push_back(std::move(node));
    }
}

SoakWorld::~SoakWorld() = default;

void SoakWorld::addBackend(const std::string& service, std::size_t number, const std::string& zone)
{
    const auto name = service + "-" + std::to_string(number);
    m_backends.push_back(std::make_unique<SoakBackend>(m_io, service, name, zone, m_promises, m_random));
    m_store.put("servers", name, m_backends.back()->entry(false));
}

void SoakWorld::publishConfiguration()
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

Duration SoakWorld::someTime(Duration least, Duration most)
{
    return least + Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>((most - least).count()))));
}

void SoakWorld::after(Duration time, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, time);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code&) { action(); });
}

void SoakWorld::loop(Duration time)
{
    m_io.restart();
    m_io.run_for(time);
}

bool SoakWorld::isCalm(const Node& node) const
{
    const auto now = m_clock.now();
    return node.disturbedUntil != never && m_storeDisturbedUntil != never && now > node.disturbedUntil + contact && now > m_storeDisturbedUntil + contact;
}

bool SoakWorld::areAllCalm() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& it) { return isCalm(*it); });
}

void SoakWorld::hold(Node& node, Duration time, const std::function<void()>& begin, const std::function<void()>& end)
{
    node.disturbedUntil = never;
    begin();
    after(time, [this, &node, end] {
        end();
        node.disturbedUntil = m_clock.now();
    });
}

void SoakWorld::stopNode(Node& node, int signal)
{
    node.isMeantToRun = false;
    // A SIGTERM is planned work: what was passed on is still answered. It is no disturbance until the end.
    if (signal != SIGTERM)
        node.disturbedUntil = m_clock.now();
    node.process->signal(signal);
}

void SoakWorld::watchProcesses()
{
    for (const auto& it : m_nodes) {
        const auto end = it->process->takeEnd();
        if (!end)
            continue;
        const bool isClean = WIFEXITED(*end) && WEXITSTATUS(*end) == 0;
        if (it->isMeantToRun || (!isClean && !(WIFSIGNALED(*end) && WTERMSIG(*end) == SIGKILL)))
            m_promises.fail("a gateway ended by itself or with an error");
        it->disturbedUntil = never;
        after(someTime(100ms, 900ms), [this, node = it.get()] {
            node->process->start();
            node->isMeantToRun = true;
            node->disturbedUntil = m_clock.now();
        });
    }
    after(20ms, [this] { watchProcesses(); });
}

void SoakWorld::disturbNode(Node& node)
{
    if (!node.process->isRunning() || !node.isMeantToRun)
        return;
    const auto time = someTime(200ms, 4s);
    switch (m_random.below(10)) {
    case 8:
    case 9:
        return hiccup(node, 1 + m_random.below(12));
    case 0:
        ++m_faults["kill"];
        return stopNode(node, SIGKILL);
    case 1:
        ++m_faults["terminate"];
        return stopNode(node, SIGTERM);
    case 2:
        ++m_faults["reload"];
        return node.process->signal(SIGHUP);
    case 3:
        ++m_faults["pause"];
        return hold(
            node, time, [&] { node.process->signal(SIGSTOP); }, [&] { node.process->signal(SIGCONT); });
    case 4:
        ++m_faults["store link held one way"];
        return hold(
            node, time, [&] { node.storeLink->setFaults({ {}, false, true, false }); }, [&] { node.storeLink->setFaults({}); });
    case 5:
        ++m_faults["store link refuses"];
        return hold(
            node, time, [&] { node.storeLink->setFaults({ {}, false, false, true }); node.storeLink->reset(); }, [&] { node.storeLink->setFaults({}); });
    case 6:
        ++m_faults["store link delayed"];
        return hold(
            node, time, [&] { node.storeLink->setFaults({ 150ms, false, false, false }); }, [&] { node.storeLink->setFaults({}); });
    default:
        ++m_faults["store link silent for good"];
        node.storeLink->silence();
        node.disturbedUntil = m_clock.now();
    }
}

void SoakWorld::hiccup(Node& node, std::uint64_t times)
{
    if (times == 0 || !node.process->isRunning() || !node.isMeantToRun)
        return;
    ++m_faults["hiccup"];
    hold(
        node, someTime(20ms, 150ms), [&] { node.process->signal(SIGSTOP); },
        [this, &node, times] {
            node.process->signal(SIGCONT);
            after(someTime(10ms, 120ms), [this, &node, times] { hiccup(node, times - 1); });
        });
}

void SoakWorld::disturbStore()
{
    const auto time = someTime(300ms, 5s);
    m_storeDisturbedUntil = never;
    const auto kind = m_random.below(4);
    ++m_faults[kind == 0 ? "store busy" : (kind == 1 ? "store silent" : "store forgets its history")];
    if (kind < 2)
        m_store.setFaults({ kind == 0, kind == 1, 500 });
    else
        m_store.forgetHistory();
    // An entry may lapse during an outage; it is back soon after.
    auto& lapsed = *m_backends[m_random.below(m_backends.size())];
    const bool lapses = lapsed.closedAt == never && kind < 2;
    if (lapses)
        m_store.remove("servers", lapsed.name());
    after(time, [this, &lapsed, lapses] {
        m_store.setFaults({ false, false, 500 });
        m_storeDisturbedUntil = m_clock.now();
        if (lapses)
            after(someTime(100ms, 1800ms), [this, &lapsed] { m_store.put("servers", lapsed.name(), lapsed.entry(lapsed.closedAt != never)); });
    });
}

void SoakWorld::drain(SoakBackend& server)
{
    if (server.closedAt != never || !areAllCalm())
        return;
    ++m_faults["drain"];
    m_store.put("servers", server.name(), server.entry(true));
    server.closedAt = m_clock.now() + drainLimit;
    after(drainLimit + 1500ms, [this, &server] {
        server.closedAt = never;
        m_store.put("servers", server.name(), server.entry(false));
    });
}

void SoakWorld::disturbBackend()
{
    auto& server = *m_backends[m_random.below(m_backends.size())];
    const auto time = someTime(300ms, 4s);
    const auto calm = [&server] {
        server.setFaults({});
        server.link().setFaults({});
    };
    after(time, calm);
    switch (m_random.below(8)) {
    case 0:
        ++m_faults["server fails"];
        return server.setFaults({ 5ms, 0.5, 0, 0 });
    case 1:
        ++m_faults["server refuses"];
        return server.setFaults({ 5ms, 0, 0.7, 0 });
    case 2:
        ++m_faults["server loses answers"];
        return server.setFaults({ 5ms, 0, 0, 0.3 });
    case 3:
        ++m_faults["server slow"];
        return server.setFaults({ 300ms, 0, 0, 0 });
    case 4:
        ++m_faults["server link held"];
        return server.link().setFaults({ {}, m_random.below(2) == 0, true, false });
    case 5:
        ++m_faults["server link reset"];
        return server.link().reset();
    case 6:
        ++m_faults["server link silent for good"];
        return server.link().silence();
    default:
        ++m_faults["server refuses connections"];
        server.link().setFaults({ {}, false, false, true });
        server.link().reset();
    }
}

void SoakWorld::disturb()
{
    if (!m_isStorming)
        return;
    const auto kind = m_random.below(10);
    if (kind < 4)
        disturbNode(*m_nodes[m_random.below(m_nodes.size())]);
    else if (kind < 5 && m_storeDisturbedUntil != never)
        disturbStore();
    else
        disturbBackend();
    after(someTime(100ms, 900ms), [this] { disturb(); });
}

Attempt SoakWorld::newAttempt(const Node& node, bool isSearch, const std::string& prefix)
{
    Attempt attempt;
    attempt.id = "x" + std::to_string(++m_lastAttempt);
    attempt.gateway = node.process->name();
    attempt.isSearch = isSearch;
    attempt.isIdempotent = isSearch;
    attempt.method = isSearch ? "GET" : "POST";
    attempt.target = prefix + attempt.id + "?q=1";
    attempt.body = isSearch ? "" : "order " + attempt.id;
    return attempt;
}

void SoakWorld::send(Node& node)
{
    const bool isSearch = m_random.below(3) > 0;
    sendAs(node, newAttempt(node, isSearch, isSearch ? "/s/" : "/o/"));
}

void SoakWorld::sendAs(Node& node, const Attempt& attempt)
{
    std::erase_if(m_callers, [](const auto& it) { return it->isOver; });
    const auto it = std::find_if(m_callers.begin(), m_callers.end(), [&](const auto& caller) { return caller->isFree() && caller->isAt(node); });
    const auto caller = it == m_callers.end() ? std::make_shared<Caller>(*this, node) : *it;
    m_promises.onSent(attempt);
    caller->send(attempt);
    if (it != m_callers.end())
        return;
    m_callers.push_back(caller);
    caller->open();
}

void SoakWorld::probeConfiguration(std::uint64_t added, std::uint64_t dropped)
{
    for (const auto& it : m_nodes) {
        if (!isCalm(*it) || !it->isMeantToRun)
            continue;
        for (const auto version : { added, dropped }) {
            auto attempt = newAttempt(*it, false, "/v" + std::to_string(version) + "/");
            attempt.isRouted = version == added;
            ++m_faults["probe of a changed configuration"];
            sendAs(*it, attempt);
        }
    }
}

void SoakWorld::sendNext()
{
    if (!m_isSending)
        return;
    send(*m_nodes[m_random.below(m_nodes.size())]);
    after(m_settings.betweenRequests, [this] { sendNext(); });
}

std::size_t SoakWorld::successesDuring(Duration time)
{
    const auto before = m_promises.successes();
    loop(time);
    return m_promises.successes() - before;
}

bool SoakWorld::run()
{
    watchProcesses();
    loop(4s);
    m_isSending = true;
    sendNext();
    const auto end = m_clock.now() + m_settings.length;
    while (m_clock.now() < end) {
        m_isStorming = true;
        disturb();
        loop(waveLength);
        m_isStorming = false;
        loop(calmLength / 2);
        drain(*m_backends[m_random.below(m_backends.size())]);
        const auto before = m_version;
        m_version += 1 + m_random.below(5);
        publishConfiguration();
        after(applyLimit, [this, added = m_version, before] { probeConfiguration(added, before); });
        loop(calmLength / 2);
    }
    loop(recoveryTime);
    const auto before = m_lastAttempt;
    const auto served = successesDuring(3s);
    const auto sent = m_lastAttempt - before;
    if (static_cast<double>(served) < servedAfterRecovery * static_cast<double>(sent))
        m_promises.fail("after the last fault " + std::to_string(served) + " of " + std::to_string(sent) + " requests were served");
    m_isSending = false;
    loop(4s);
    m_promises.checkAll();
    std::cout << "seed=" << m_settings.seed << " requests=" << m_lastAttempt << " answered=" << m_promises.answers() << " served=" << m_promises.successes()
              << " checks=" << m_promises.checks() << " broken=" << m_promises.broken().size() << '\n';
    for (const auto& [name, n] : m_faults)
        std::cout << "  fault " << name << ": " << n << '\n';
    for (const auto& [what, n] : m_promises.broken())
        std::cout << "  BROKEN " << n << " times: " << what << '\n';
    return m_promises.broken().empty();
}

}
