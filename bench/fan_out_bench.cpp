#include "bench/virtual_fleet.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

namespace lycheefield::bench {

namespace {

/// Injected faults, as shares; see FleetShape.
struct Scenario {
    const char* name;
    double slowReplicas;
    double slowLegs;
    double delayedMessages;
};

const Scenario scenarios[] = { { "none", 0, 0, 0 }, { "replicas", 0.1, 0, 0 }, { "legs", 0, 0.02, 0 }, { "both", 0.1, 0.02, 0.01 } };

struct Policy {
    const char* name;
    void (*apply)(QuerySettings&);
};

const Policy policies[] = {
    { "baseline", [](QuerySettings& it) { it.hedge = it.chooseByLoad = it.retryRefusals = false; } },
    { "choice", [](QuerySettings& it) { it.hedge = false; } },
    { "hedge", [](QuerySettings& it) { it.chooseByLoad = false; } },
    { "all", [](QuerySettings&) {} },
};

Rule searchRule()
{
    Rule rule;
    rule.name = "bench";
    rule.pathPrefix = "/search";
    rule.service = ServiceName("quotedesk");
    rule.deadline = 2s;
    rule.minCoverage = Share { 0.5 };
    rule.comment = "the fan-out bench";
    return rule;
}

void print(const char* scenario, const char* policy, const FleetShape& shape, const FleetFigures& it)
{
    std::printf("%s,%s,%u,%.0f,%.2f,%.2f,%.2f,%.4f,%.4f,%.4f,%.4f,%.3f,%.3f,%.2f,%u,%u,%u\n", scenario, policy, shape.shards, shape.queriesPerSecond, it.p50, it.p99,
        it.p999, it.extraLegs, it.hedges, it.complete, it.answered, it.backendLoad, it.wasted, it.cpuPerLeg, it.crashedServers, it.shardOutages, it.collateralLegs);
    std::fflush(stdout);
}

FleetShape shapeOf(const FleetShape& base, std::uint32_t legs, const Scenario& scenario)
{
    auto shape = base;
    shape.shards = legs;
    shape.slowReplicas = scenario.slowReplicas;
    shape.slowLegs = scenario.slowLegs;
    shape.delayedMessages = scenario.delayedMessages;
    return shape;
}

/// Worst figures of the policy "all" over the scenarios. The p99 latency is a ratio to that of the baseline policy in
/// the same scenario, kept apart for the scenario without faults.
struct WorstFigures {
    double p99Ratio = 0;
    double faultlessRatio = 0;
    double extraLegs = 0;
    double complete = 1;
    double cpuPerLeg = 0;

    void add(const Scenario& scenario, const FleetFigures& figures, double baseline)
    {
        const bool isFaultless = std::strcmp(scenario.name, "none") == 0;
        auto& ratio = isFaultless ? faultlessRatio : p99Ratio;
        ratio = std::max(ratio, figures.p99 / baseline);
        extraLegs = std::max(extraLegs, figures.extraLegs);
        complete = std::min(complete, figures.complete);
        cpuPerLeg = std::max(cpuPerLeg, figures.cpuPerLeg);
    }
    std::string toString(std::uint32_t legs) const
    {
        char buf[250];
        std::snprintf(buf, sizeof buf, " p99_ratio_%u=%.3f faultless_ratio_%u=%.3f extra_legs_%u=%.4f complete_%u=%.4f cpu_us_per_leg_%u=%.2f", legs, p99Ratio, legs, faultlessRatio, legs, extraLegs, legs, complete, legs, cpuPerLeg);
        return buf;
    }
};

}

}

int main(int argc, char** argv)
{
    using namespace lycheefield;
    using namespace lycheefield::bench;
    std::vector<std::uint32_t> fanOuts { 20, 100, 460 };
    std::string onlyPolicy;
    std::string onlyScenario;
    FleetShape base;
    base.rule = searchRule();
    std::int64_t retransmissionMillis = 200;
    std::int64_t deadlineMillis = 2000;
    std::int64_t serviceMicros = base.service.count();
    CLI::App app("Measures searches on a virtual clock: tail latency, extra legs and CPU time, with each policy on and off.");
    app.add_option("legs", fanOuts, "numbers of shards of the service");
    app.add_option("--policy", onlyPolicy, "run only this policy and the baseline");
    app.add_option("--scenario", onlyScenario, "run only this scenario");
    app.add_option("--rate", base.queriesPerSecond, "queries per second over all instances");
    app.add_option("--engines", base.enginesPerInstance, "engines per instance, which share their budgets");
    app.add_option("--service-us", serviceMicros, "median service time of a leg at a server without faults, in microseconds");
    app.add_flag("--half-exponential", base.isHalfExponential, "service time half fixed, half exponential, as at the stand-in servers");
    app.add_option("--queries", base.queries, "queries per run");
    app.add_option("--seed", base.seed, "seed of the fleet and of the engines");
    app.add_option("--retransmission-ms", retransmissionMillis, "delay of a retransmitted message, in milliseconds");
    app.add_option("--quantile", base.policies.hedgeQuantile.value, "latency quantile from which the hedge delay is computed");
    app.add_option("--delay-factor", base.policies.hedgeDelayFactor, "hedge delay as a multiple of the latency quantile");
    app.add_option("--outstanding", base.policies.hedgeWhenOutstanding.value, "maximum share of legs outstanding at which legs are hedged");
    app.add_option("--very-late", base.policies.veryLateFactor, "number of hedge delays after which a leg is hedged whatever the share outstanding");
    app.add_option("--canary", base.policies.canaryBeforeSearch, "send one leg of every search ahead of the others");
    app.add_option("--admission", base.policies.admission, "refuse requests that can't be completed before their deadline");
    app.add_option("--refusing", base.refusing, "share of legs refused by servers");
    app.add_option("--failing", base.failing, "share of legs that run and fail");
    app.add_option("--slow-down", base.slowDown, "factor on the service time of every server");
    app.add_option("--poison", base.poison, "share of queries whose content crashes servers");
    app.add_option("--deadline-ms", deadlineMillis, "deadline of the rule, in milliseconds");
    app.add_option("--coverage", base.rule.minCoverage.value, "minimum coverage of the rule");
    app.add_option("--attempts", base.policies.maxAttempts, "maximum attempts per leg");
    CLI11_PARSE(app, argc, argv);
    base.rule.deadline = std::chrono::milliseconds(deadlineMillis);
    base.service = Duration(serviceMicros);
    base.retransmission = std::chrono::milliseconds(retransmissionMillis);
    std::printf("scenario,policy,legs,rate,p50_ms,p99_ms,p999_ms,extra_legs,hedges,complete,answered,backend_load,wasted,cpu_us_per_leg,felled,shards_felled,innocents_hit\n");
    std::string summary = "seed=" + std::to_string(base.seed);
    for (const auto legs : fanOuts) {
        WorstFigures worst;
        for (const auto& scenario : scenarios) {
            if (!onlyScenario.empty() && onlyScenario != scenario.name)
                continue;
            double baseline = 0;
            for (const auto& policy : policies) {
                const bool isBaseline = std::strcmp(policy.name, "baseline") == 0;
                if (!isBaseline && !onlyPolicy.empty() && onlyPolicy != policy.name)
                    continue;
                auto shape = shapeOf(base, legs, scenario);
                policy.apply(shape.policies);
                const auto figures = VirtualFleet(shape).run();
                print(scenario.name, policy.name, shape, figures);
                if (isBaseline)
                    baseline = figures.p99;
                if (std::strcmp(policy.name, "all") == 0)
                    worst.add(scenario, figures, baseline);
            }
        }
        summary += worst.toString(legs);
    }
    std::printf("%s\n", summary.c_str());
    return 0;
}
