// Measures the cost of membership and rules per instance. The engines of many instances run in one
// process on a virtual clock. Message sizes are those of the real encoding. CPU time and memory
// include the fake network, so they are upper bounds for the engines.

#include "support/membership_cluster.h"
#include "wire/frame_codec.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <string>

using namespace lycheefield;

namespace {

constexpr std::size_t headerBytes = 52; ///< Headers of IPv4 and of TCP with timestamps.
constexpr std::size_t ruleLines = 200;

struct Options {
    std::vector<std::size_t> sizes { 9, 30, 90, 510 };
    std::size_t zones = 6;
    int seconds = 300;
    double lossPercent = 0;
    int probePeriodMs = 500;
    std::uint64_t seed = 20261204;
};

struct Cost {
    double bytesPerSecond = 0; ///< Mean over instances, sent and received.
    double maxBytesPerSecond = 0; ///< Of the instance with the highest traffic.
    double cpuShare = 0;
    double megabytes = 0;
    double maxChangeTime = 0; ///< Longest time in seconds until a rule change was in force on every instance.
    double removalTime = 0; ///< Seconds until every instance had removed a stopped instance.
    std::uint64_t suspicions = 0; ///< Suspicions of running instances, until the first instance is stopped.
};

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double residentMegabytes()
{
    constexpr double pageMegabytes = 4096 / 1e6;
    std::ifstream statm("/proc/self/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    statm >> size >> resident;
    return static_cast<double>(resident) * pageMegabytes;
}

StoredRules rules(std::uint64_t revision)
{
    StoredRules stored;
    stored.revision = RuleRevision(revision);
    for (std::size_t i = 0; i < ruleLines; ++i) {
        const auto deadline = i == revision % ruleLines ? 80 + revision : 80;
        stored.text += "match /search/" + std::to_string(i) + " service quotedesk kind search priority van deadline " + std::to_string(deadline)
            + "ms coverage 95% # asked by Ngozi (van team), 2026-11-30: van lookups first\n";
    }
    return stored;
}

/// Writes a rule change to the store and runs until the change is in force on every instance. Returns the time in seconds.
double timeChange(MembershipCluster& cluster, std::uint64_t revision)
{
    constexpr Duration step = 20ms;
    constexpr Duration limit = 30s;
    const auto start = cluster.now();
    cluster.storeRules(rules(revision), 5ms);
    while (cluster.countWithRevision(RuleRevision(revision)) < cluster.running() && cluster.now() - start < limit)
        cluster.runFor(step);
    return std::chrono::duration<double>(cluster.now() - start).count();
}

/// Stops an instance and runs until every other instance has removed it. Returns the time in seconds.
double timeStop(MembershipCluster& cluster, const std::string& name)
{
    constexpr Duration step = 100ms;
    constexpr Duration limit = 60s;
    const auto start = cluster.now();
    cluster.stop(name);
    while (cluster.countSeeing(name, InstanceHealth::Gone) < cluster.running() && cluster.now() - start < limit)
        cluster.runFor(step);
    return std::chrono::duration<double>(cluster.now() - start).count();
}

std::uint64_t totalSuspicions(MembershipCluster& cluster)
{
    std::uint64_t n = 0;
    for (const auto& [name, node] : cluster.nodes())
        n += node.engine->counts().suspicions;
    return n;
}

Cost measure(std::size_t n, const Options& options)
{
    constexpr Duration settling = 20s;
    constexpr int secondsPerChange = 75; // 1,100 changes a day are one change every 78 s.
    const auto memoryBefore = residentMegabytes();
    MembershipSettings settings;
    settings.probePeriod = std::chrono::milliseconds(options.probePeriodMs);
    MembershipCluster cluster(options.seed, settings);
    cluster.setSizes([](const auto& message) { return encodeFrame(message, TimePoint()).size() + headerBytes; },
        [](const auto& delta) { return encodeFrame(delta, TimePoint()).size() + headerBytes; });
    cluster.startMany(n, options.zones);
    cluster.runFor(settling);
    cluster.network().loss = percent(options.lossPercent);
    for (auto& [name, node] : cluster.nodes())
        node.bytes = 0;
    const auto cpuBefore = cpuSeconds();
    const auto started = cluster.now();
    Cost cost;
    std::uint64_t revision = 0;
    for (int passed = 0; passed < options.seconds; passed += secondsPerChange) {
        cost.maxChangeTime = std::max(cost.maxChangeTime, timeChange(cluster, ++revision));
        if (revision == 2) {
            cost.suspicions = totalSuspicions(cluster);
            cost.removalTime = timeStop(cluster, "i1");
        }
        if (revision == 3)
            cluster.start("i1", "zone-1");
        cluster.runFor(std::chrono::seconds(secondsPerChange));
    }
    const auto seconds = std::chrono::duration<double>(cluster.now() - started).count();
    std::uint64_t bytes = 0;
    std::uint64_t maxBytes = 0;
    for (const auto& [name, node] : cluster.nodes()) {
        bytes += node.bytes;
        maxBytes = std::max(maxBytes, node.bytes);
    }
    const auto instances = static_cast<double>(n);
    cost.bytesPerSecond = static_cast<double>(bytes) / seconds / instances;
    cost.maxBytesPerSecond = static_cast<double>(maxBytes) / seconds;
    cost.cpuShare = (cpuSeconds() - cpuBefore) / seconds / instances;
    cost.megabytes = (residentMegabytes() - memoryBefore) / instances;
    return cost;
}

}

int main(int argc, char** argv)
{
    CLI::App app("Measures the cost of membership and rules per instance, engines only");
    Options options;
    app.add_option("--instances", options.sizes, "Numbers of instances");
    app.add_option("--zones", options.zones, "Availability zones")->capture_default_str();
    app.add_option("--seconds", options.seconds, "Virtual duration of each run in seconds")->capture_default_str();
    app.add_option("--loss-percent", options.lossPercent, "Percentage of messages lost")->capture_default_str();
    app.add_option("--probe-period-ms", options.probePeriodMs, "Time between two probes by one instance, in milliseconds")->capture_default_str();
    app.add_option("--seed", options.seed, "Seed of the network and the engines")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    std::cout << "seed=" << options.seed << " loss_percent=" << options.lossPercent << '\n';
    for (const auto n : options.sizes) {
        const auto cost = measure(n, options);
        std::printf("instances=%zu bytes_per_s=%.0f most_bytes_per_s=%.0f cpu_share=%.5f mb=%.3f slowest_change_s=%.2f gone_after_s=%.1f suspicions=%llu\n", n, cost.bytesPerSecond, cost.maxBytesPerSecond,
            cost.cpuShare, cost.megabytes, cost.maxChangeTime, cost.removalTime, static_cast<unsigned long long>(cost.suspicions));
        std::fflush(stdout);
    }
    return 0;
}
