#include "bench/dispatch/relay_load.h"

#include <algorithm>
#include <cstdio>

namespace lycheefield::bench {

namespace {

constexpr std::uint32_t shardCount = 4;

struct Policy {
    const char* name;
    RelaySettings settings;
};

std::string replica(std::uint32_t shard, std::uint32_t copy)
{
    return "s" + std::to_string(shard) + (copy == 0 ? "a" : "b");
}

/// Legs a second of one relay with eight servers of two slots and 10.2 ms a leg, the way back included.
constexpr double capacity = 1568;

struct Bench {
    Bench(std::uint64_t seed, const RelaySettings& settings, ReplicaChoice choice)
        : world(seed)
        , load(world, build(settings), choice)
    {
        world.runUntil(world.now() + 100ms);
    }

    std::vector<std::vector<std::string>> build(const RelaySettings& settings)
    {
        std::vector<std::vector<std::string>> replicas;
        for (std::uint32_t i = 0; i < shardCount; ++i) {
            replicas.push_back({ replica(i, 0), replica(i, 1) });
            world.addServer({ replica(i, 0), i });
            world.addServer({ replica(i, 1), i });
        }
        world.addRelay("i0", settings);
        world.publishAll();
        return replicas;
    }

    RelayWorld world;
    RelayLoad load;
};

constexpr std::uint64_t seeds = 5;

void overload(const Policy& policy, double vanShare, Duration vanBudget, double total = 2)
{
    double van = 0;
    double desk = 0;
    double wasted = 0;
    double p99 = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Bench bench(seed, policy.settings, ReplicaChoice::FastestForPriority);
        const auto end = bench.world.now() + 10s;
        bench.load.start({ Priority::Van, capacity * vanShare, vanBudget }, end);
        bench.load.start({ Priority::Desk, capacity * (total - vanShare), 400ms }, end);
        bench.world.runUntil(end + 5s);
        van += bench.load.of(Priority::Van).share() / seeds;
        desk += bench.load.of(Priority::Desk).share() / seeds;
        wasted += static_cast<double>(bench.world.deadTime.count()) / static_cast<double>(bench.world.busyTime.count()) / seeds;
        p99 += bench.load.of(Priority::Van).quantile(0.99) / seeds;
    }
    std::printf("overload,%s,load=%.2f,van_share=%.2f,van_budget_ms=%.0f,van_in_time=%.4f,desk_in_time=%.4f,wasted=%.4f,van_p99_ms=%.1f\n", policy.name, total, vanShare,
        static_cast<double>(vanBudget.count()) / 1000, van, desk, wasted, p99);
}

/// One server of eight is bad in some way; legs are desk work at a share of the capacity.
struct Trouble {
    const char* name;
    double load;
    void (*begin)(RelayWorld&);
};

void failSlowly(RelayWorld& world) { world.server("s0a").isFailing = true; }

void failFast(RelayWorld& world)
{
    world.server("s0a").isFailing = true;
    world.server("s0a").slowFactor = 0.1;
}

void slow(RelayWorld& world) { world.server("s0a").slowFactor = 10; }

void hang(RelayWorld& world) { world.server("s0a").isHung = true; }

void coldRestart(RelayWorld& world)
{
    auto& server = world.server("s0a");
    server.coldFactor = 5;
    server.coldTime = 3s;
    world.crash("s0a");
}

void coldUnderLoad(RelayWorld& world)
{
    coldRestart(world);
    world.server("s0a").coldFactor = 8;
    world.server("s0a").isColdByLoad = true;
}

const Trouble troubles[] = {
    { "cold_by_load", 0.4, coldUnderLoad },
    { "cold_by_load", 0.7, coldUnderLoad },
    { "slow", 0.7, slow },
    { "failing", 0.7, failSlowly },
    { "hung", 0.7, hang },
    { "cold_restart", 0.7, coldRestart },
    { "failing", 0.4, failSlowly },
    { "failing_fast", 0.4, failFast },
    { "slow", 0.4, slow },
    { "hung", 0.4, hang },
    { "cold_restart", 0.4, coldRestart },
};

void trouble(const Trouble& it, const Policy& policy, ReplicaChoice choice, const char* choiceName)
{
    double inTime = 0;
    double p50 = 0;
    double p99 = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Bench bench(seed, policy.settings, choice);
        const auto begin = bench.world.now() + 2s;
        bench.load.start({ Priority::Desk, capacity * it.load, 300ms }, begin + 10s);
        bench.world.runUntil(begin);
        bench.load.reset();
        it.begin(bench.world);
        bench.world.runUntil(begin + 15s);
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
            overload(policy, vanShare, 150ms);
    }
}

void runTroubles()
{
    const Policy policies[] = { { "off", withoutAny() }, { "ejection_off", without(&RelaySettings::ejection) }, { "slow_start_off", without(&RelaySettings::slowStart) }, { "all", {} } };
    for (const auto& it : troubles) {
        for (const auto& policy : policies) {
            trouble(it, policy, ReplicaChoice::Random, "random");
            trouble(it, policy, ReplicaChoice::Fastest, "fastest");
        }
    }
}

}

}

/// Arguments name what to run: overload, trouble. Without any, all.
int main(int argc, char** argv)
{
    using namespace lycheefield::bench;
    const std::vector<std::string> names(argv + 1, argv + argc);
    const auto isAsked = [&](const char* name) { return names.empty() || std::find(names.begin(), names.end(), name) != names.end(); };
    if (isAsked("overload"))
        runOverloads();
    if (isAsked("trouble"))
        runTroubles();
}
