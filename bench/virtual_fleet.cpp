#include "bench/virtual_fleet.h"

#include "base/fingerprint.h"
#include "query/rule_budgets.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lycheefield::bench {

namespace {

const std::string poisonBody = "poison";

ZoneName zoneOf(std::uint32_t n)
{
    return ZoneName("zone" + std::to_string(n));
}

double percentile(std::vector<double> sorted, double share)
{
    if (sorted.empty())
        return 0;
    std::sort(sorted.begin(), sorted.end());
    const auto index = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size()))) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

}

VirtualFleet::VirtualFleet(const FleetShape& shape)
    : m_shape(shape)
    , m_random(shape.seed)
{
    buildTables();
}

void VirtualFleet::buildTables()
{
    std::vector<Instance> instances;
    for (std::uint32_t i = 0; i < m_shape.zones * m_shape.instancesPerZone; ++i) {
        Instance instance;
        instance.name = InstanceName("i" + std::to_string(i));
        instance.zone = zoneOf(i % m_shape.zones);
        instances.push_back(instance);
        m_zones.emplace(instance.name, instance.zone);
        addEntry(instance);
    }
    Service service { m_shape.rule.service, PartitionEpoch(1), {} };
    std::vector<Server> servers;
    for (std::uint32_t i = 0; i < m_shape.shards; ++i) {
        Shard shard { ShardNumber(i), { BatchId("b" + std::to_string(i)) }, {} };
        const bool hasSlowReplica = m_random.unit() < 2 * m_shape.slowReplicas;
        const auto slowReplica = m_random.below(2);
        for (std::uint32_t j = 0; j < 2; ++j) {
            Server server;
            server.name = ServerName("s" + std::to_string(i) + (j ? "b" : "a"));
            server.zone = zoneOf((i + j) % m_shape.zones);
            server.service = service.name;
            server.slots = m_shape.slots;
            server.versions = { IndexVersion(1) };
            shard.replicas.push_back(server.name);
            FakeServer fake;
            fake.name = server.name;
            fake.zone = server.zone;
            fake.shard = i;
            fake.factor = m_shape.slowDown * (hasSlowReplica && slowReplica == j ? m_shape.slowReplicaFactor : 1);
            m_servers.emplace(server.name, std::move(fake));
            servers.push_back(server);
        }
        m_replicas.push_back(shard.replicas);
        service.shards.push_back(std::move(shard));
    }
    const ShardMap map({ service }, servers);
    m_tables.rules = std::make_shared<RuleTable>(RuleRevision(1), std::vector<Rule> { m_shape.rule }, "");
    m_tables.shards = std::make_shared<ShardMap>(map);
    m_tables.ownership = std::make_shared<Ownership>(MembershipView(instances), map);
}

void VirtualFleet::addEntry(const Instance& instance)
{
    Entry entry { instance.name, instance.zone, {}, ProcessLife(m_entries.size() + 1), 0, std::vector<TimePoint>(m_shape.enginesPerInstance, never) };
    const auto budgets = std::make_shared<RuleBudgets>();
    for (std::uint32_t i = 0; i < m_shape.enginesPerInstance; ++i) {
        auto random = std::make_unique<SeededRandom>(m_random.next());
        entry.engines.push_back(makeQueryEngine(m_shape.policies, instance.name, instance.zone, std::move(random), nullptr, budgets));
    }
    m_entries.push_back(std::move(entry));
}

FleetFigures VirtualFleet::run()
{
    arrive(0);
    while (m_counted + m_shape.warmUp < m_shape.queries && m_events.step()) { }
    FleetFigures figures;
    QueryCounters sum;
    for (const auto& entry : m_entries) {
        for (const auto& engine : entry.engines)
            sum += engine->counters();
    }
    const auto legs = std::max(1.0, static_cast<double>(sum.firstLegs));
    const auto counted = std::max(1.0, static_cast<double>(m_counted));
    figures.p50 = percentile(m_latencies, 0.5);
    figures.p99 = percentile(m_latencies, 0.99);
    figures.p999 = percentile(m_latencies, 0.999);
    figures.hedges = static_cast<double>(sum.hedges) / legs;
    figures.extraLegs = static_cast<double>(sum.hedges + sum.retries) / legs;
    figures.complete = m_complete / counted;
    figures.answered = m_answered / counted;
    figures.backendLoad = static_cast<double>(m_startedLegs) / legs;
    figures.wasted = m_busyMicros > 0 ? m_wastedMicros / m_busyMicros : 0;
    figures.cpuPerLeg = static_cast<double>(m_cpuNanos) / 1000 / legs;
    figures.crashedServers = m_crashedServers;
    figures.collateralLegs = m_collateralLegs;
    figures.shardOutages = m_shardOutages;
    return figures;
}

void VirtualFleet::arrive(std::uint32_t index)
{
    if (index >= m_shape.queries)
        return;
    auto& entry = m_entries[m_random.below(m_entries.size())];
    CallerRequest request;
    request.id = { entry.life, ++entry.requests };
    request.path = m_shape.rule.pathPrefix;
    const bool poison = m_random.unit() < m_shape.poison;
    request.body = std::make_shared<const std::string>(poison ? poisonBody : "query " + std::to_string(index));
    m_startedAt.emplace(request.id, std::make_pair(m_events.now(), index));
    callEngine(entry, entry.engineOf(request.id), [&](QueryEngine& engine, QueryActions& actions) { engine.start(request, m_tables, m_events.now(), actions); });
    const auto gap = -std::log(1 - m_random.unit()) / m_shape.queriesPerSecond;
    m_events.after(Duration(static_cast<std::int64_t>(gap * 1e6)), [this, index] { arrive(index + 1); });
}

template <typename Call>
void VirtualFleet::callEngine(Entry& entry, std::size_t engine, Call call)
{
    QueryActions actions;
    const auto begin = std::chrono::steady_clock::now();
    call(*entry.engines[engine], actions);
    m_cpuNanos += std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - begin).count();
    execute(entry, actions);
    scheduleWake(entry, engine);
}

void VirtualFleet::scheduleWake(Entry& entry, std::size_t engine)
{
    const auto due = entry.engines[engine]->nextWake();
    if (due >= entry.wakeAt[engine])
        return;
    entry.wakeAt[engine] = due;
    m_events.at(due, [this, &entry, engine, due] {
        if (entry.wakeAt[engine] != due)
            return;
        entry.wakeAt[engine] = never;
        callEngine(entry, engine, [&](QueryEngine& it, QueryActions& actions) { it.onTimer(m_events.now(), actions); });
    });
}

void VirtualFleet::execute(Entry& entry, QueryActions& actions)
{
    for (auto& action : actions) {
        if (auto* work = std::get_if<SendWork>(&action)) {
            sendWork(entry, *work);
        } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
            const auto assigned = m_serverOf.find(cancel->key);
            if (assigned != m_serverOf.end())
                m_events.after(linkDelay(entry.zone, m_zones[cancel->relay]), [this, server = assigned->second, key = cancel->key] { cancelLeg(server, key); });
        } else if (const auto* answer = std::get_if<DeliverAnswer>(&action)) {
            onAnswer(answer->answer);
        }
    }
}

void VirtualFleet::sendWork(Entry& entry, SendWork& work)
{
    const auto delay = linkDelay(entry.zone, m_zones[work.relay]) + m_shape.nearLink;
    auto legs = std::move(work.work.legs);
    work.work.legs.clear();
    for (auto& it : legs) {
        auto leg = std::make_shared<Leg>();
        leg->work = work.work;
        leg->order = it;
        m_serverOf[{ leg->work.request, it.leg, it.attempt }] = it.server;
        m_events.after(delay, [this, leg] { enqueue(m_servers.at(leg->order.server), leg); });
    }
}

void VirtualFleet::onAnswer(const Answer& answer)
{
    const auto [startedAt, index] = m_startedAt.at(answer.request);
    m_startedAt.erase(answer.request);
    if (index < m_shape.warmUp)
        return;
    ++m_counted;
    m_latencies.push_back(static_cast<double>((m_events.now() - startedAt).count()) / 1000);
    m_complete += answer.isComplete();
    m_answered += !answer.refusal;
}

Duration VirtualFleet::linkDelay(const ZoneName& from, const ZoneName& to)
{
    auto delay = from == to ? m_shape.nearLink : m_shape.farLink;
    delay += Duration(m_random.below(static_cast<std::uint64_t>(delay.count() / 10 + 1)));
    if (m_shape.delayedMessages > 0 && m_random.unit() < m_shape.delayedMessages)
        delay += m_shape.retransmission;
    return delay;
}

double VirtualFleet::serviceTimeFactor()
{
    if (m_shape.isHalfExponential)
        return 0.5 - 0.5 * std::log(1 - m_random.unit());
    const double normal = std::sqrt(-2 * std::log(1 - m_random.unit())) * std::cos(2 * M_PI * m_random.unit());
    return std::exp(m_shape.serviceSpread * normal);
}

Duration VirtualFleet::serviceTime(const FakeServer& server)
{
    double micros = static_cast<double>(m_shape.service.count()) * serviceTimeFactor() * server.factor;
    if (m_shape.slowLegs > 0 && m_random.unit() < m_shape.slowLegs)
        micros *= m_shape.slowLegFactor;
    return Duration(static_cast<std::int64_t>(micros));
}

bool VirtualFleet::isPoison(const Leg& leg) const
{
    return *leg.work.body == poisonBody;
}

void VirtualFleet::enqueue(FakeServer& server, std::shared_ptr<Leg> leg)
{
    if (server.downUntil > m_events.now())
        return respond(server, *leg, LegOutcome::Refused);
    if (m_shape.refusing > 0 && m_random.unit() < m_shape.refusing)
        return respond(server, *leg, LegOutcome::Refused);
    leg->arrived = m_events.now();
    server.queue.push_back(std::move(leg));
    beginNext(server);
}

void VirtualFleet::beginNext(FakeServer& server)
{
    while (server.running.size() < m_shape.slots && !server.queue.empty()) {
        auto leg = server.queue.front();
        server.queue.pop_front();
        if (leg->work.deadline <= m_events.now()) {
            respond(server, *leg, LegOutcome::Expired);
            continue;
        }
        leg->began = m_events.now();
        ++m_startedLegs;
        server.running[{ leg->work.request, leg->order.leg, leg->order.attempt }] = leg;
        const auto time = isPoison(*leg) ? m_shape.service : serviceTime(server);
        m_events.after(time, [this, &server, leg] { finish(server, leg); });
    }
}

void VirtualFleet::finish(FakeServer& server, const std::shared_ptr<Leg>& leg)
{
    if (leg->cancelled)
        return;
    if (isPoison(*leg))
        return crash(server);
    server.running.erase({ leg->work.request, leg->order.leg, leg->order.attempt });
    const auto micros = static_cast<double>((m_events.now() - leg->began).count());
    m_busyMicros += micros;
    if (!m_startedAt.contains(leg->work.request))
        m_wastedMicros += micros;
    constexpr double weight = 0.1;
    server.recentMicros = server.recentMicros > 0 ? server.recentMicros + weight * (micros - server.recentMicros) : micros;
    respond(server, *leg, m_shape.failing > 0 && m_random.unit() < m_shape.failing ? LegOutcome::Failed : LegOutcome::Ok);
    beginNext(server);
}

void VirtualFleet::crash(FakeServer& server)
{
    ++m_crashedServers;
    server.downUntil = m_events.now() + m_shape.restartTime;
    bool allDown = true;
    for (const auto& it : m_replicas[server.shard])
        allDown = allDown && m_servers.at(it).downUntil > m_events.now();
    m_shardOutages += allDown;
    for (const auto& [key, leg] : std::exchange(server.running, {})) {
        leg->cancelled = true;
        respond(server, *leg, LegOutcome::Lost, true);
        m_collateralLegs += !isPoison(*leg);
    }
    for (const auto& it : std::exchange(server.queue, {}))
        respond(server, *it, LegOutcome::Refused);
    announceCrash(server);
}

void VirtualFleet::announceCrash(const FakeServer& server)
{
    // As at the relays: a crash after the first wave was caused by a probe of the content, and quarantines the content.
    constexpr Duration crashWave = 500ms;
    const bool wasProbe = m_firstCrash != never && m_events.now() - m_firstCrash > crashWave;
    m_firstCrash = std::min(m_firstCrash, m_events.now());
    const CrashNews news { fingerprintOf(m_shape.rule.service, poisonBody), wasProbe ? 2U : 1U, wasProbe ? Duration(5min) : Duration {}, server.name };
    for (auto& entry : m_entries) {
        m_events.after(linkDelay(server.zone, entry.zone), [this, &entry, news] {
            for (std::size_t i = 0; i < entry.engines.size(); ++i)
                callEngine(entry, i, [&](QueryEngine& engine, QueryActions& actions) { engine.onCrashAnnounced(news, m_events.now(), actions); });
        });
    }
}

void VirtualFleet::cancelLeg(const ServerName& name, const LegKey& key)
{
    auto& server = m_servers.at(name);
    m_serverOf.erase(key);
    const auto running = server.running.find(key);
    if (running != server.running.end()) {
        const auto leg = running->second;
        leg->cancelled = true;
        server.running.erase(running);
        const auto micros = static_cast<double>((m_events.now() - leg->began).count());
        m_busyMicros += micros;
        m_wastedMicros += micros;
        respond(server, *leg, LegOutcome::Cancelled);
        return beginNext(server);
    }
    const auto queued = std::find_if(server.queue.begin(), server.queue.end(),
        [&](const auto& it) { return it->work.request == key.request && it->order.leg == key.leg && it->order.attempt == key.attempt; });
    if (queued != server.queue.end())
        server.queue.erase(queued);
}

void VirtualFleet::respond(const FakeServer& server, const Leg& leg, LegOutcome outcome, bool crashed)
{
    LegResult result;
    result.key = { leg.work.request, leg.order.leg, leg.order.attempt };
    result.shard = leg.order.shard;
    result.outcome = outcome;
    result.version = leg.work.version;
    result.epoch = leg.work.epoch;
    result.state = { server.name, static_cast<std::uint32_t>(server.running.size()), static_cast<std::uint32_t>(server.queue.size()), m_shape.slots,
        { IndexVersion(1) }, false, server.downUntil > m_events.now(), Duration(static_cast<std::int64_t>(server.recentMicros)) };
    if (outcome == LegOutcome::Ok)
        result.batches = { BatchId("b" + std::to_string(server.shard)) };
    result.crashed = crashed;
    result.queueTime = leg.began > leg.arrived ? leg.began - leg.arrived : Duration {};
    result.serviceTime = leg.began > TimePoint {} ? m_events.now() - leg.began : Duration {};
    const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry& it) { return it.name == leg.work.entry; });
    const auto delay = linkDelay(server.zone, entry->zone) + m_shape.nearLink;
    m_events.after(delay, [this, &entry = *entry, result] {
        m_serverOf.erase(result.key);
        callEngine(entry, entry.engineOf(result.key.request), [&](QueryEngine& engine, QueryActions& actions) { engine.onLegResult(result, m_events.now(), actions); });
    });
}

}
