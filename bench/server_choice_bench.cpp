// Measures the processor time of choosing a server among the replicas of one service in several zones, and the state
// that the choice keeps for each server.

#include "forward/server_pool.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <ctime>
#include <string>

using namespace lycheefield;

namespace {

struct Options {
    std::size_t replicas = 10;
    std::size_t zones = 4;
    int picks = 2'000'000;
    std::uint64_t seed = 20261206;
};

std::map<ServerName, ServerEntry> entriesOf(const Options& options)
{
    std::map<ServerName, ServerEntry> entries;
    for (std::size_t i = 0; i < options.replicas; ++i) {
        ServerEntry entry;
        entry.name = ServerName("server-" + std::to_string(i));
        entry.service = ServiceName("s");
        entry.zone = ZoneName("zone-" + std::to_string(i % options.zones));
        entry.slots = 2;
        entries.emplace(entry.name, entry);
    }
    return entries;
}

/// Returns the mean time of a pick in nanoseconds. With a backlog the servers of this zone have requests waiting, so that each pick
/// weighs whether to leave the zone.
double measure(const Options& options, std::uint32_t backlog)
{
    ForwardSettings settings;
    settings.zone = ZoneName("zone-0");
    SeededRandom random(options.seed);
    ServerPool pool(settings, random);
    const ServiceName service("s");
    TimePoint now { 100s };
    pool.update(entriesOf(options), now);
    pool.setInstances(1);
    const auto begin = std::clock();
    std::size_t found = 0;
    for (int i = 0; i < options.picks; ++i) {
        now += 50us;
        const PickContext context { 20ms, now, nullptr, 160ms };
        const auto server = pool.pick(service, { 400 }, context);
        if (!server)
            continue;
        ++found;
        pool.recordFirstAttempt(*server);
        ServerPool::recordSent(*server, now);
        ServerPool::recordEnd(*server, now);
        ServerPool::recordAnswer(*server, now - 25ms, 20ms, now);
        if (server->isInZone)
            ServerPool::recordLoad(*server, { 2, backlog, 2 }, now);
    }
    const auto took = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    if (found == 0)
        std::printf("no server was found\n");
    constexpr double nanosPerSecond = 1e9;
    return took * nanosPerSecond / options.picks;
}

}

int main(int argc, char** argv)
{
    Options options;
    CLI::App app("Benchmark of the choice of a server");
    app.add_option("--replicas", options.replicas, "Replicas of the service")->capture_default_str();
    app.add_option("--zones", options.zones, "Availability zones")->capture_default_str();
    app.add_option("--picks", options.picks, "Choices")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    const auto state = sizeof(ReportedSlowdown) + sizeof(TrackedServer::isInZone) + sizeof(TrackedServer::zoneCost)
        + (sizeof(ZoneSpill) + sizeof(ServiceName)) / options.replicas;
    std::printf("replicas %zu zones %zu\n", options.replicas, options.zones);
    std::printf("pick_ns calm %.0f\n", measure(options, 0));
    std::printf("pick_ns backlog_in_zone %.0f\n", measure(options, 6));
    std::printf("bytes_a_server decision %zu all %zu\n", state, sizeof(TrackedServer));
}
