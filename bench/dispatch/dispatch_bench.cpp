#include "bench/dispatch/relay_load.h"

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

}

}

int main()
{
    using namespace lycheefield;
    using namespace lycheefield::bench;
    RelaySettings off;
    off.admission = off.ejection = off.slowStart = off.quarantine = false;
    RelaySettings admissionOff;
    admissionOff.admission = false;
    for (const auto& policy : { Policy { "admission_off", admissionOff }, Policy { "all", {} } }) {
        for (const double vanShare : { 0.5, 0.9, 1.0 })
            overload(policy, vanShare, 150ms);
        overload(policy, 1, 150ms, 1.01);
        overload(policy, 0.9, 150ms, 0.91);
    }
}
