#include "bench/dispatch/relay_load.h"
#include "bench/dispatch/search_load.h"

#include <algorithm>
#include <cstdio>

namespace lycheefield::bench {

namespace {

constexpr std::uint32_t shardCount = 4;

struct Policy {
    const char* name;
    RelaySettings settings;
};

std::string replicaName(std::uint32_t shard, std::uint32_t replicaIndex)
{
    return "s" + std::to_string(shard) + (replicaIndex == 0 ? "a" : "b");
}

/// Legs per second of one relay with eight servers of two slots, at 10.2 ms per leg including the way back.
constexpr double capacity = 1568;

struct Bench {
    Bench(std::uint64_t seed, const RelaySettings& settings, ReplicaChoice choice)
        : testBed(seed)
        , load(testBed, build(settings), choice)
    {
        testBed.runUntil(testBed.now() + 100ms);
    }

    std::vector<std::vector<std::string>> build(const RelaySettings& settings)
    {
        std::vector<std::vector<std::string>> replicas;
        for (std::uint32_t i = 0; i < shardCount; ++i) {
            replicas.push_back({ replicaName(i, 0), replicaName(i, 1) });
            testBed.addServer({ replicaName(i, 0), i });
            testBed.addServer({ replicaName(i, 1), i });
        }
        testBed.addRelay("i0", settings);
        testBed.publishAll();
        return replicas;
    }

    RelayTestBed testBed;
    RelayLoad load;
};

constexpr std::uint64_t seeds = 5;

void runOverload(const Policy& policy, double vanShare, Duration vanBudget, double total = 2)
{
    double van = 0;
    double desk = 0;
    double wasted = 0;
    double p99 = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Bench bench(seed, policy.settings, ReplicaChoice::FastestForPriority);
        const auto end = bench.testBed.now() + 10s;
        bench.load.start({ Priority::Van, capacity * vanShare, vanBudget }, end);
        bench.load.start({ Priority::Desk, capacity * (total - vanShare), 400ms }, end);
        bench.testBed.runUntil(end + 5s);
        van += bench.load.of(Priority::Van).share() / seeds;
        desk += bench.load.of(Priority::Desk).share() / seeds;
        wasted += static_cast<double>(bench.testBed.wastedTime.count()) / static_cast<double>(bench.testBed.busyTime.count()) / seeds;
        p99 += bench.load.of(Priority::Van).quantile(0.99) / seeds;
    }
    std::printf("overload,%s,load=%.2f,van_share=%.2f,van_budget_ms=%.0f,van_in_time=%.4f,desk_in_time=%.4f,wasted=%.4f,van_p99_ms=%.1f\n", policy.name, total, vanShare,
        static_cast<double>(vanBudget.count()) / 1000, van, desk, wasted, p99);
}

/// A fault of one server of eight, under desk legs at a share of the capacity.
struct ServerFault {
    const char* name;
    double load;
    void (*begin)(RelayTestBed&);
};

void failSlowly(RelayTestBed& testBed) { testBed.server("s0a").isFailing = true; }

void failFast(RelayTestBed& testBed)
{
    testBed.server("s0a").isFailing = true;
    testBed.server("s0a").slowFactor = 0.1;
}

void slow(RelayTestBed& testBed) { testBed.server("s0a").slowFactor = 10; }

void hang(RelayTestBed& testBed) { testBed.server("s0a").isHung = true; }

void coldRestart(RelayTestBed& testBed)
{
    auto& server = testBed.server("s0a");
    server.coldFactor = 5;
    server.coldTime = 3s;
    testBed.crash("s0a");
}

void coldUnderLoad(RelayTestBed& testBed)
{
    coldRestart(testBed);
    testBed.server("s0a").coldFactor = 8;
    testBed.server("s0a").isColdByLoad = true;
}

const ServerFault serverFaults[] = {
    { "failing", 0.4, failSlowly },
    { "failing", 0.7, failSlowly },
    { "failing_fast", 0.4, failFast },
    { "slow", 0.4, slow },
    { "slow", 0.7, slow },
    { "hung", 0.4, hang },
    { "hung", 0.7, hang },
    { "cold_restart", 0.4, coldRestart },
    { "cold_restart", 0.7, coldRestart },
    { "cold_by_load", 0.4, coldUnderLoad },
    { "cold_by_load", 0.7, coldUnderLoad },
};

void runServerFault(const ServerFault& it, const Policy& policy, ReplicaChoice choice, const char* choiceName)
{
    double inTime = 0;
    double p50 = 0;
    double p99 = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Bench bench(seed, policy.settings, choice);
        const auto begin = bench.testBed.now() + 2s;
        bench.load.start({ Priority::Desk, capacity * it.load, 300ms }, begin + 10s);
        bench.testBed.runUntil(begin);
        bench.load.reset();
        it.begin(bench.testBed);
        bench.testBed.runUntil(begin + 15s);
        inTime += bench.load.of(Priority::Desk).share() / seeds;
        p50 += bench.load.of(Priority::Desk).quantile(0.5) / seeds;
        p99 += bench.load.of(Priority::Desk).quantile(0.99) / seeds;
    }
    std::printf("%s,%s,choice=%s,load=%.2f,in_time=%.4f,p50_ms=%.1f,p99_ms=%.1f\n", it.name, policy.name, choiceName, it.load, inTime, p50, p99);
}

RelaySettings without(bool RelaySettings::*policy)
{
    RelaySettings settings;
    settings.*policy = false;
    return settings;
}

RelaySettings withoutAny()
{
    RelaySettings settings;
    settings.admission = settings.ejection = settings.slowStart = settings.quarantine = false;
    return settings;
}

void runOverloads()
{
    for (const auto& policy : { Policy { "admission_off", without(&RelaySettings::admission) }, Policy { "all", {} } }) {
        for (const double vanShare : { 0.5, 0.9, 1.0 })
            runOverload(policy, vanShare, 150ms);
    }
}

void runServerFaults()
{
    const Policy policies[] = { { "off", withoutAny() }, { "ejection_off", without(&RelaySettings::ejection) }, { "slow_start_off", without(&RelaySettings::slowStart) }, { "all", {} } };
    for (const auto& it : serverFaults) {
        for (const auto& policy : policies) {
            runServerFault(it, policy, ReplicaChoice::Random, "random");
            runServerFault(it, policy, ReplicaChoice::Fastest, "fastest");
        }
    }
}

/// Two relays with different views both send to one shard at 0.9 of the shard's capacity. The servers have no queue.
void runDifferingViews(const Policy& policy)
{
    double inTime = 0;
    double refusedAtServer = 0;
    double p99 = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RelayTestBed testBed(seed);
        for (const auto* it : { "s0a", "s0b" }) {
            TestBedServer server;
            server.name = it;
            server.queueLimit = 0;
            testBed.addServer(server);
        }
        for (const auto* it : { "i0", "i1" }) {
            testBed.addRelay(it, policy.settings);
            testBed.publish(it, { it });
        }
        RelayLoad load(testBed, { { "s0a", "s0b" } }, ReplicaChoice::FastestForPriority);
        load.sendToRelays({ "i0", "i1" });
        testBed.runUntil(testBed.now() + 100ms);
        const auto end = testBed.now() + 10s;
        load.start({ Priority::Desk, capacity / 4 * 0.9, 300ms }, end);
        testBed.runUntil(end + 2s);
        inTime += load.of(Priority::Desk).share() / seeds;
        p99 += load.of(Priority::Desk).quantile(0.99) / seeds;
        const auto sent = testBed.relay("i0").counters().sent + testBed.relay("i1").counters().sent;
        refusedAtServer += static_cast<double>(testBed.outcomes[LegOutcome::Refused]) / static_cast<double>(sent) / seeds;
    }
    std::printf("two_views,%s,in_time=%.4f,p99_ms=%.1f,refused=%.4f\n", policy.name, inTime, p99, refusedAtServer);
}

/// A record that crashes servers is sent ten times per second for a minute, each time to a random replica of its shard.
void runCrashing(const Policy& policy)
{
    double crashedServers = 0;
    double shards = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Bench bench(seed, policy.settings, ReplicaChoice::Random);
        constexpr std::uint64_t poison = 0xdead;
        bench.testBed.setCrashingContent(poison);
        for (int i = 0; i < 600; ++i) {
            const auto server = replicaName(0, static_cast<std::uint32_t>(bench.testBed.random().below(2)));
            bench.testBed.send("i0", server, poison);
            bench.testBed.runUntil(bench.testBed.now() + 100ms);
        }
        for (const auto& [name, times] : bench.testBed.crashedServers)
            crashedServers += static_cast<double>(times) / seeds;
        shards += bench.testBed.crashedServers.size() > 1 ? 1.0 / seeds : 0;
    }
    std::printf("crashing,%s,felled=%.1f,lost_both_replicas=%.2f\n", policy.name, crashedServers, shards);
}

/// Results of one run of searches.
struct SearchRun {
    double vanAnswered = 0;
    double vanPartial = 0;
    double vanNotRun = 0;
    double deskAnswered = 0;
    double wasted = 0;
    double hedges = 0;
    double retries = 0;
};

SearchRun runSearches(const SearchShape& shape, double vanShare, double total)
{
    constexpr double searchCapacity = 200;
    constexpr auto time = 20s;
    SearchLoad load(shape);
    load.start("/van", searchCapacity * 0.5, load.now() + 3s);
    load.runUntil(load.now() + 4s);
    const auto before = load.of("/van");
    const auto busyBefore = load.testBed().busyTime;
    const auto deadBefore = load.testBed().wastedTime;
    const auto end = load.now() + time;
    load.start("/van", searchCapacity * vanShare, end);
    load.start("/desk", searchCapacity * (total - vanShare), end);
    load.runUntil(end + 1s);
    const auto& van = load.of("/van");
    const auto n = static_cast<double>(van.sent - before.sent);
    const auto counters = load.counters();
    SearchRun run;
    run.vanAnswered = (van.complete + van.partial - before.complete - before.partial) / n;
    run.vanPartial = (van.partial - before.partial) / n;
    run.vanNotRun = (van.notAdmitted - before.notAdmitted) / n;
    run.deskAnswered = load.of("/desk").answered();
    run.wasted = static_cast<double>((load.testBed().wastedTime - deadBefore).count()) / static_cast<double>((load.testBed().busyTime - busyBefore).count());
    run.hedges = static_cast<double>(counters.hedges) / static_cast<double>(counters.firstLegs);
    run.retries = static_cast<double>(counters.retries) / static_cast<double>(counters.firstLegs);
    return run;
}

/// Measures searches of 20 legs through entries and relays: van lookups at a share of the capacity of 200 per second, and
/// desk searches for the rest of the load. Prints means over the seeds, and the lowest share of van lookups answered in one run.
void runSearchOverload(const char* policy, const SearchShape& base, double vanShare, double total = 2)
{
    SearchRun mean;
    double worst = 1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto shape = base;
        shape.seed = seed;
        const auto run = runSearches(shape, vanShare, total);
        for (const auto part : { &SearchRun::vanAnswered, &SearchRun::vanPartial, &SearchRun::vanNotRun, &SearchRun::deskAnswered, &SearchRun::wasted, &SearchRun::hedges, &SearchRun::retries })
            mean.*part += run.*part / seeds;
        worst = std::min(worst, run.vanAnswered);
    }
    std::printf("searches,%s,load=%.2f,van_share=%.2f,van_answered=%.4f,worst=%.4f,van_partial=%.4f,van_not_run=%.4f,desk_answered=%.4f,wasted=%.4f,hedges=%.4f,retries=%.4f\n", policy, total,
        vanShare, mean.vanAnswered, worst, mean.vanPartial, mean.vanNotRun, mean.deskAnswered, mean.wasted, mean.hedges, mean.retries);
    std::fflush(stdout);
}

void runSearchOverloads(const std::vector<double>& vanShares)
{
    SearchShape withoutShedding;
    withoutShedding.entrySettings.shedding = false;
    for (const double it : vanShares) {
        runSearchOverload("shedding_off", withoutShedding, it);
        runSearchOverload("all", {}, it);
    }
}

/// Measures the CPU time of the relay engine per leg, from the work order to the result.
void measureCpuTime(std::uint32_t servers)
{
    auto engine = makeRelayEngine({}, InstanceName("i0"), std::make_unique<SeededRandom>(1));
    std::vector<Server> all;
    for (std::uint32_t i = 0; i < servers; ++i) {
        Server server;
        server.name = ServerName("quotedesk-server-" + std::to_string(i));
        server.service = ServiceName("quotedesk");
        server.zone = ZoneName("ikeja-a");
        server.slots = 2;
        server.connectionCap = 25;
        all.push_back(server);
    }
    Instance self;
    self.name = InstanceName("i0");
    const auto map = std::make_shared<const ShardMap>(std::vector<Service>(), all);
    TimePoint now { Duration(1) };
    RelayActions actions;
    engine->onTables(map, std::make_shared<const Ownership>(MembershipView({ self }), *map), now, actions);
    for (const auto& it : RelayActions(actions)) {
        if (const auto* open = std::get_if<OpenConnection>(&it))
            engine->onConnected(open->server, open->connection, now, actions);
    }
    constexpr std::uint64_t rounds = 200000;
    const auto body = std::make_shared<const std::string>(500, 'x');
    const auto begin = std::chrono::steady_clock::now();
    std::uint64_t results = 0;
    for (std::uint64_t i = 0; i < rounds; ++i) {
        now += 50us;
        WorkOrder order;
        order.request = { ProcessLife(1), i };
        order.entry = InstanceName("i1");
        order.service = all[0].service;
        order.deadline = now + 200ms;
        order.fingerprint = Fingerprint(i * 0x9e3779b97f4a7c15ULL);
        order.body = body;
        order.legs.push_back({ LegNumber(0), AttemptNumber(0), ShardNumber(0), all[i % servers].name });
        actions.clear();
        engine->onWork(order, now, actions);
        if (engine->nextWake() <= now)
            engine->onTimer(now, actions);
        const auto sent = std::move(actions);
        actions.clear();
        for (const auto& it : sent) {
            const auto* run = std::get_if<SendLeg>(&it);
            if (!run)
                continue;
            LegResponse answer;
            answer.key = { run->work.request, run->work.legs[0].leg, run->work.legs[0].attempt };
            answer.outcome = LegOutcome::Ok;
            engine->onLegResponse(run->server, run->connection, answer, now, actions);
            if (engine->nextWake() <= now)
                engine->onTimer(now, actions);
            results += actions.size();
        }
    }
    const auto nanos = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - begin).count();
    std::printf("cpu,servers=%u,ns_per_leg=%.0f,results=%.4f\n", servers, static_cast<double>(nanos) / rounds, static_cast<double>(results) / rounds);
}

}

}

/// Runs the measurements named by the arguments: overload, trouble, views, crashing, searches, cpu. Without arguments, runs all of these.
/// searches100, cpu5, cpu50 and cpu250 run one part of searches or cpu.
int main(int argc, char** argv)
{
    using namespace lycheefield::bench;
    const std::vector<std::string> names(argv + 1, argv + argc);
    const auto isSelected = [&](const char* name) { return names.empty() || std::find(names.begin(), names.end(), name) != names.end(); };
    if (isSelected("overload"))
        runOverloads();
    if (isSelected("trouble"))
        runServerFaults();
    if (isSelected("views"))
        runDifferingViews({ "all", {} });
    if (isSelected("crashing")) {
        runCrashing({ "quarantine_off", without(&lycheefield::RelaySettings::quarantine) });
        runCrashing({ "all", {} });
    }
    if (isSelected("searches"))
        runSearchOverloads({ 0.5, 0.9, 1.0 });
    if (!names.empty() && isSelected("searches100"))
        runSearchOverloads({ 1.0 });
    for (const std::uint32_t servers : { 5U, 50U, 250U }) {
        if (isSelected("cpu") || (!names.empty() && isSelected(("cpu" + std::to_string(servers)).c_str())))
            measureCpuTime(servers);
    }
}
