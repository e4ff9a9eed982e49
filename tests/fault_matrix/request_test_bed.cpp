#include "fault_matrix/request_node.h"

#include "rules/rule_parser.h"

#include <algorithm>

namespace lycheefield::fault_matrix {

using namespace std::chrono_literals;

namespace {

constexpr auto rulesText = "match /search service desk kind search priority van deadline 2s coverage 100% prefer coverage hedge 5% retry 10%  # asked by the fault matrix: every shard counts\n"
                           "match /record service desk kind record priority desk deadline 2s hedge 5% retry 10%  # asked by the fault matrix: one shard\n"
                           "match /order service desk kind order priority desk deadline 2s hedge 0% retry 0%  # asked by the fault matrix: at most once\n";
constexpr std::uint32_t connectionCap = 10;
constexpr std::uint32_t slots = 6;
/// Relays that share the connection cap of a server: the owner and the standby of an old and of a new view.
constexpr std::uint32_t holdersInTwoViews = 4;
constexpr Duration sameZoneDelay = 1ms;
constexpr Duration otherZoneDelay = 3ms;
constexpr Duration healthPeriod = 500ms;
const std::array<std::string, 3> zones { "a", "b", "c" };

std::shared_ptr<const RuleTable> tableOf(std::uint64_t revision)
{
    return std::make_shared<const RuleTable>(std::get<RuleTable>(parseRules(rulesText, RuleRevision(revision))));
}

}

RequestTestBed::RequestTestBed(RequestTestBedOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_rules(tableOf(1))
{
    buildServers();
    m_nodes.resize(instances);
    for (std::size_t i = 0; i < instances; ++i) {
        m_nodes[i] = std::make_unique<Node>();
        buildNode(i);
    }
    for (std::size_t i = 0; i < instances; ++i)
        setView(i, currentView());
}

RequestTestBed::~RequestTestBed() = default;

ServerName RequestTestBed::serverName(std::uint32_t shard, std::uint32_t replica)
{
    return ServerName("desk-" + std::to_string(shard) + "-" + std::to_string(replica));
}

void RequestTestBed::buildServers()
{
    for (std::uint32_t s = 0; s < shards; ++s) {
        for (std::uint32_t r = 0; r < replicas; ++r) {
            const auto name = serverName(s, r);
            standin::BackendBehaviour behaviour;
            behaviour.meanServiceTime = 5ms;
            behaviour.slots = slots;
            behaviour.crashMark = "crash-server";
            auto server = std::make_unique<standin::BackendServer>(name, behaviour, m_options.seed * 100 + s * replicas + r);
            server->setIndex({ IndexVersion(1) }, { m_epoch }, { { ShardNumber(s), { BatchId("b" + std::to_string(s)) } } });
            server->start(m_timeline.now());
            server->onRequestStarted([this, name](const standin::BackendRequest& it, TimePoint at) {
                m_history.runs.push_back({ it.key, it.kind, name, it.shard, it.body, it.version, it.epoch, at });
                reportStep(it.key.request, Step::LegBegun);
            });
            m_servers.emplace(name, std::move(server));
            m_serverZones.emplace(name, ZoneName(zones[(s + r) % zones.size()]));
            m_history.connectionCaps[name] = connectionCap;
        }
    }
}

void RequestTestBed::buildNode(std::size_t index)
{
    auto& node = *m_nodes[index];
    const auto epoch = node.epoch + 1;
    node = Node {};
    node.index = index;
    node.epoch = epoch;
    node.self.name = InstanceName("i" + std::to_string(index));
    node.self.zone = ZoneName(zones[index % zones.size()]);
    node.self.life = ProcessLife(m_random.next());
    node.tables = std::make_shared<Node::Tables>();
    RelaySettings relay;
    QuerySettings query;
    relay.quarantine = m_options.mutation != Mutation::NoQuarantine;
    node.query = makeQueryEngine(query, node.self.name, node.self.zone, std::make_unique<SeededRandom>(m_random.next()), node.tables);
    node.relay = makeRelayEngine(relay, node.self.name, std::make_unique<SeededRandom>(m_random.next()));
    node.claims = makeClaimEngine(ClaimSettings {}, std::make_unique<SeededRandom>(m_random.next()));
    m_timeline.after(healthPeriod, [this, index, epoch] { pollHealth(index, epoch); });
}

std::shared_ptr<const ShardMap> RequestTestBed::currentMap() const
{
    Service service { ServiceName("desk"), m_epoch, {} };
    std::vector<Server> servers;
    for (std::uint32_t s = 0; s < shards; ++s) {
        Shard shard { ShardNumber(s), { BatchId("b" + std::to_string((s + m_epoch.value() - 1) % shards)) }, {} };
        for (std::uint32_t r = 0; r < replicas; ++r) {
            const auto name = serverName(s, r);
            shard.replicas.push_back(name);
            const auto cap = m_options.mutation == Mutation::ConnectionCapNotShared ? holdersInTwoViews * connectionCap : connectionCap;
            servers.push_back({ name, { "127.0.0.1", 1 }, m_serverZones.at(name), service.name, slots, cap, m_drainingServers.contains(name), { IndexVersion(1) } });
        }
        service.shards.push_back(std::move(shard));
    }
    return std::make_shared<const ShardMap>(std::vector { service }, servers);
}

MembershipView RequestTestBed::currentView() const
{
    std::vector<Instance> all;
    for (const auto& it : m_nodes) {
        auto instance = it->self;
        instance.health = it->isDraining ? InstanceHealth::Leaving : InstanceHealth::Alive;
        if (it->isUp && !it->isPaused)
            all.push_back(instance);
    }
    return MembershipView(all);
}

void RequestTestBed::setView(std::size_t index, const MembershipView& view)
{
    auto& node = *m_nodes[index];
    const auto map = currentMap();
    node.tables->tables = { m_rules, map, std::make_shared<const Ownership>(view, *map) };
    RelayActions actions;
    node.relay->onTables(map, node.tables->tables.ownership, m_timeline.now(), actions);
    execute(node, actions);
}

void RequestTestBed::publishViews(Duration minDelay, Duration maxDelay)
{
    for (std::size_t i = 0; i < instances; ++i) {
        const auto delay = minDelay + Duration(m_random.below(static_cast<std::uint64_t>((maxDelay - minDelay).count()) + 1));
        m_timeline.after(delay, [this, i] {
            if (m_nodes[i]->isUp)
                runOnNode(i, m_nodes[i]->epoch, [this](Node& node) { setView(node.index, currentView()); });
        });
    }
}

std::size_t RequestTestBed::indexOf(const InstanceName& name) const
{
    for (std::size_t i = 0; i < instances; ++i) {
        if (m_nodes[i]->self.name == name)
            return i;
    }
    return instances;
}

std::size_t RequestTestBed::ownerOf(std::uint32_t shard, std::uint32_t replica, std::size_t seenBy) const
{
    const auto* owners = m_nodes[seenBy]->tables->tables.ownership->ownersOf(serverName(shard, replica));
    return owners ? indexOf(owners->owner) : instances;
}

Duration RequestTestBed::delayBetween(std::size_t from, std::size_t to) const
{
    if (from == to)
        return 0ms;
    return m_nodes[from]->self.zone == m_nodes[to]->self.zone ? sameZoneDelay : otherZoneDelay;
}

void RequestTestBed::runOnNode(std::size_t index, std::uint64_t epoch, std::function<void(Node&)> run)
{
    auto& node = *m_nodes[index];
    if (!node.isUp || node.epoch != epoch)
        return;
    if (node.isPaused) {
        node.deferred.push_back([this, index, epoch, run = std::move(run)] { runOnNode(index, epoch, run); });
        return;
    }
    run(node);
    scheduleWake(node);
}

void RequestTestBed::send(std::size_t from, std::size_t to, std::function<void(Node&)> run)
{
    if (to >= instances || !m_nodes[to]->isUp) {
        if (to < instances || from < instances) {
            const auto lost = to < instances ? m_nodes[to]->self.name : InstanceName("ghost");
            m_timeline.after(1ms, [this, from, lost, epoch = m_nodes[from]->epoch] {
                runOnNode(from, epoch, [this, lost](Node& node) {
                    QueryActions actions;
                    node.query->onRelayDisconnected(lost, m_timeline.now(), actions);
                    execute(node, actions);
                });
            });
        }
        return;
    }
    auto due = m_timeline.now() + delayBetween(from, to);
    // Bytes on a cut link are delivered when the cut ends.
    const auto cut = m_cutLinks.find({ from, to });
    if (cut != m_cutLinks.end())
        due = std::max(due, cut->second);
    m_timeline.at(due, [this, to, epoch = m_nodes[to]->epoch, run = std::move(run)] { runOnNode(to, epoch, run); });
}

void RequestTestBed::broadcast(const Node& from, const std::function<void(Node&)>& run)
{
    for (std::size_t i = 0; i < instances; ++i) {
        if (m_nodes[i]->isUp)
            send(from.index, i, run);
    }
}

void RequestTestBed::scheduleWake(Node& node)
{
    const auto due = std::min({ node.query->nextWake(), node.relay->nextWake(), node.claims->nextWake() });
    if (due == never || (node.wakeAt <= due && node.wakeAt > m_timeline.now()))
        return;
    node.wakeAt = due;
    m_timeline.at(due, [this, index = node.index, epoch = node.epoch] {
        runOnNode(index, epoch, [this](Node& it) { runTimers(it); });
    });
}

void RequestTestBed::runTimers(Node& node)
{
    node.wakeAt = never;
    const auto now = m_timeline.now();
    QueryActions queryActions;
    if (node.query->nextWake() <= now)
        node.query->onTimer(now, queryActions);
    execute(node, queryActions);
    RelayActions relayActions;
    if (node.relay->nextWake() <= now)
        node.relay->onTimer(now, relayActions);
    execute(node, relayActions);
    ClaimActions claimActions;
    if (node.claims->nextWake() <= now)
        node.claims->onTimer(now, claimActions);
    execute(node, claimActions);
}

void RequestTestBed::pollHealth(std::size_t index, std::uint64_t epoch)
{
    runOnNode(index, epoch, [this](Node& node) {
        for (const auto& [name, server] : m_servers) {
            if (!node.tables->tables.ownership->holds(node.self.name, name) || server->isDown(m_timeline.now()))
                continue;
            HealthReport report { server->busySlots(), server->behaviour().draining, { server->versions().begin(), server->versions().end() } };
            if (m_options.mutation == Mutation::DrainNotAnnounced)
                report.draining = false;
            RelayActions actions;
            node.relay->onHealth(name, report, m_timeline.now(), actions);
            execute(node, actions);
        }
    });
    if (m_nodes[index]->epoch == epoch && m_nodes[index]->isUp)
        m_timeline.after(healthPeriod, [this, index, epoch] { pollHealth(index, epoch); });
}

void RequestTestBed::reportStep(const RequestId& request, Step step)
{
    if (m_listener && m_watched == request)
        m_listener(step);
}

void RequestTestBed::changeRules()
{
    m_rules = tableOf(++m_ruleRevision);
    publishViews(0ms, 500ms);
}

void RequestTestBed::publishStaleView(std::size_t unseen, Duration duration)
{
    std::vector<Instance> listed;
    const auto view = currentView();
    for (const auto& [name, instance] : view.instances()) {
        if (name != m_nodes[unseen]->self.name)
            listed.push_back(instance);
    }
    Instance ghost;
    ghost.name = InstanceName("ghost");
    ghost.zone = m_nodes[unseen]->self.zone;
    listed.push_back(ghost);
    for (std::size_t i = 0; i < instances; ++i) {
        if (m_nodes[i]->isUp && !m_nodes[i]->isPaused)
            setView(i, MembershipView(listed));
    }
    m_timeline.after(duration, [this] { publishViews(0ms, 500ms); });
}

void RequestTestBed::cutLink(std::size_t from, std::size_t to, Duration duration)
{
    m_cutLinks[{ from, to }] = m_timeline.now() + duration;
    m_timeline.after(duration, [this, from, to] { m_cutLinks.erase({ from, to }); });
}

}
