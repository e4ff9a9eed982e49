#include "standin/backend_fleet.h"

#include "standin/http_call.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <functional>
#include <stdexcept>

namespace lycheefield::standin {

namespace json = boost::json;

namespace {

double parseNumber(const std::string& text)
{
    return std::stod(text);
}

void applySetting(BackendBehaviour& behaviour, const std::string& key, const std::string& value)
{
    if (key == "slow")
        behaviour.slowFactor = parseNumber(value);
    if (key == "slow-probability")
        behaviour.slowProbability = parseNumber(value);
    if (key == "slow-multiplier")
        behaviour.slowMultiplier = parseNumber(value);
    if (key == "shed")
        behaviour.shedProbability = parseNumber(value);
    if (key == "fail")
        behaviour.failProbability = parseNumber(value);
    if (key == "draining")
        behaviour.draining = value == "1";
    if (key == "marks-drain")
        behaviour.marksDrain = value == "1";
    if (key == "health-lies")
        behaviour.healthLies = value == "1";
    if (key == "service-us")
        behaviour.meanServiceTime = Duration(std::stoll(value));
}

}

BackendFleet::BackendFleet(boost::asio::io_context& io, FleetPlan plan, Endpoint platform, const Clock& clock)
    : m_io(io)
    , m_plan(std::move(plan))
    , m_platform(std::move(platform))
    , m_clock(clock)
    , m_epochs { PartitionEpoch(1) }
    , m_newest(m_plan.firstVersion)
{
}

void BackendFleet::start()
{
    startControl();
    if (!m_plan.historyPath.empty())
        m_history = std::make_unique<RunHistory>(m_plan.historyPath);
    const auto n = m_plan.shards * m_plan.replicas;
    for (std::uint32_t i = 0; i < n; ++i) {
        const ServerName name(m_plan.service + "-" + std::to_string(i / m_plan.replicas) + "-" + std::to_string(i % m_plan.replicas));
        const auto server = std::make_shared<BackendServer>(name, m_plan.behaviour, m_plan.seed + i);
        const auto listener = std::make_shared<BackendListener>(m_io, server, m_plan.limits, m_clock);
        listener->listen(m_plan.address);
        server->start(m_clock.now());
        if (m_history)
            m_history->follow(*server);
        m_servers.push_back(server);
        m_listeners.push_back(listener);
        m_versions.push_back({ m_newest });
    }
    buildCatalog();
    for (std::size_t i = 0; i < m_servers.size(); ++i)
        setIndexOf(i);
    if (!writeCatalog())
        throw std::runtime_error("the platform at " + m_platform.toString() + " did not store the catalog entry; start standin-platform first");
    if (m_plan.versionPeriod.count())
        runAfter(m_plan.versionPeriod, [this] { publishNext(); });
}

void BackendFleet::startControl()
{
    const auto server = std::make_shared<BackendServer>(ServerName("control"), BackendBehaviour {}, m_plan.seed);
    constexpr BackendListener::Limits limits { 1000, Duration(0) };
    m_control = std::make_shared<BackendListener>(m_io, server, limits, m_clock);
    m_control->setControlHandler([this](const std::string& target) { return control(target); });
    m_control->listen(m_plan.address);
}

void BackendFleet::buildCatalog()
{
    m_catalog.service.name = ServiceName(m_plan.service);
    m_catalog.service.epoch = *m_epochs.rbegin();
    m_catalog.service.shards.clear();
    m_catalog.servers.clear();
    for (std::uint32_t s = 0; s < m_plan.shards; ++s) {
        Shard shard;
        shard.number = ShardNumber(s);
        for (std::uint32_t b = 0; b < m_plan.batchesPerShard; ++b) {
            // Each repartition moves every batch to the next shard.
            const auto owner = (s + m_catalog.service.epoch.value() - 1) % m_plan.shards;
            shard.batches.emplace_back(m_plan.service + "/" + std::to_string(owner * m_plan.batchesPerShard + b));
        }
        for (std::uint32_t r = 0; r < m_plan.replicas; ++r)
            shard.replicas.push_back(m_servers[s * m_plan.replicas + r]->name());
        m_catalog.service.shards.push_back(std::move(shard));
    }
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        Server server;
        server.name = m_servers[i]->name();
        server.endpoint = { m_plan.address, m_listeners[i]->port() };
        server.zone = ZoneName(m_plan.zones[(i / m_plan.replicas + i % m_plan.replicas) % m_plan.zones.size()]);
        server.service = m_catalog.service.name;
        server.slots = m_plan.behaviour.slots;
        server.connectionCap = m_plan.limits.connectionCap;
        server.leaving = m_servers[i]->behaviour().draining;
        server.versions.assign(m_versions[i].begin(), m_versions[i].end());
        m_catalog.servers.push_back(std::move(server));
    }
}

void BackendFleet::setIndexOf(std::size_t server)
{
    std::map<ShardNumber, std::vector<BatchId>> batches;
    const auto shard = server / m_plan.replicas;
    batches.emplace(ShardNumber(static_cast<std::uint32_t>(shard)), m_catalog.service.shards[shard].batches);
    m_servers[server]->setIndex(m_versions[server], m_epochs, batches);
}

bool BackendFleet::writeCatalog()
{
    constexpr int tries = 5;
    const std::string target = "/v1/objects/catalog/" + m_plan.service;
    for (int i = 0; i < tries; ++i) {
        std::uint64_t version = 0;
        const auto current = httpCall(m_platform, "GET", target);
        if (current && current->status == 200)
            version = json::parse(current->body).at("version").to_number<std::uint64_t>();
        const auto written = httpCall(m_platform, "PUT", target + "?if-version=" + std::to_string(version), formatCatalogEntry(m_catalog));
        if (written && written->status == 200)
            return true;
    }
    return false;
}

void BackendFleet::runAfter(Duration delay, std::function<void()> run)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait([timer, run = std::move(run)](boost::system::error_code ec) {
        if (!ec)
            run();
    });
}

void BackendFleet::publishNext()
{
    const IndexVersion old = m_newest;
    m_newest = IndexVersion(old.value() + 1);
    const auto n = static_cast<Duration::rep>(m_servers.size());
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        runAfter(m_plan.versionRolloutTime * static_cast<Duration::rep>(i) / n, [this, i, newest = m_newest] {
            m_versions[i].insert(newest);
            setIndexOf(i);
        });
        runAfter(m_plan.versionRolloutTime + m_plan.oldVersionRetention, [this, i, old] {
            m_versions[i].erase(old);
            setIndexOf(i);
        });
    }
    runAfter(m_plan.versionRolloutTime, [this] {
        buildCatalog();
        writeCatalog();
    });
    if (m_plan.versionPeriod.count())
        runAfter(m_plan.versionPeriod, [this] { publishNext(); });
}

void BackendFleet::repartition()
{
    m_epochs = { PartitionEpoch(m_epochs.rbegin()->value() + 1) };
    buildCatalog();
    for (std::size_t i = 0; i < m_servers.size(); ++i)
        setIndexOf(i);
    writeCatalog();
}

std::string BackendFleet::counters() const
{
    BackendCounters sum;
    std::uint32_t peakConnections = 0;
    std::uint64_t refused = 0;
    for (const auto& it : m_listeners) {
        sum += it->server().counters();
        peakConnections = std::max(peakConnections, it->peakConnections());
        refused += it->refusedConnections();
    }
    return json::serialize(json::object { { "received", sum.received }, { "ran", sum.ran }, { "shed", sum.shed }, { "expired", sum.expired },
        { "cancelled", sum.cancelled }, { "crashes", sum.crashes }, { "received_while_draining", sum.receivedWhileDraining },
        { "busy_us", sum.busy.count() }, { "wasted_us", sum.wasted.count() }, { "most_connections", peakConnections }, { "refused_connections", refused } });
}

std::string BackendFleet::orders() const
{
    std::uint64_t distinct = 0;
    std::uint64_t twice = 0;
    json::object byBody;
    for (const auto& server : m_servers) {
        for (const auto& [body, n] : server->ordersRun()) {
            auto& count = byBody[body];
            count = (count.is_number() ? count.to_number<std::uint64_t>() : 0) + n;
        }
    }
    for (const auto& it : byBody) {
        ++distinct;
        if (it.value().to_number<std::uint64_t>() > 1)
            ++twice;
    }
    return json::serialize(json::object { { "distinct", distinct }, { "run_twice", twice }, { "orders", std::move(byBody) } });
}

void BackendFleet::applySettings(const std::string& query)
{
    const auto view = boost::urls::parse_origin_form(query).value();
    std::string server = "all";
    for (const auto it : view.params()) {
        if (it.key == "server")
            server = it.value;
    }
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (server != "all" && m_servers[i]->name().value() != server)
            continue;
        const bool wasDraining = m_servers[i]->behaviour().draining;
        for (const auto it : view.params())
            applySetting(m_servers[i]->behaviour(), it.key, it.value);
        if (m_history && !wasDraining && m_servers[i]->behaviour().draining)
            m_history->addDrain(m_servers[i]->name(), m_clock.now());
    }
}

std::string BackendFleet::control(const std::string& target)
{
    if (target == "/standin/counters")
        return counters();
    if (target == "/standin/orders")
        return orders();
    if (target == "/standin/repartition")
        repartition();
    if (target == "/standin/publish")
        publishNext();
    if (target.starts_with("/standin/set?"))
        applySettings(target);
    return "{}";
}

}
