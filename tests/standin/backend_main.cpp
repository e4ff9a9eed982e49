#include "cli/program_options.h"
#include "observe/log.h"
#include "standin/backend_fleet.h"

#include <boost/asio/signal_set.hpp>

#include <fstream>
#include <iostream>

using namespace lycheefield;
using namespace lycheefield::standin;

namespace {

struct Options {
    FleetPlan plan;
    std::string platformAddress = "127.0.0.1";
    std::uint16_t platformPort = 0;
    std::int64_t serviceMicros = 8000;
    std::int64_t connectMicros = 6000;
    std::int64_t coldMillis = 0;
    std::int64_t versionPeriodMillis = 0;
    std::int64_t restartMillis = 2000;
    std::string portFile;
    std::optional<LogFormat> logFormat;
};

void addOptions(CLI::App& app, Options& options)
{
    addProgramOptions(app, options.logFormat);
    app.add_option("--platform-address", options.platformAddress, "IP address of the platform")->capture_default_str();
    app.add_option("--platform-port", options.platformPort, "Port of the platform")->required();
    app.add_option("--service", options.plan.service, "Name of the service")->capture_default_str();
    app.add_option("--shards", options.plan.shards, "Shards of the service")->capture_default_str()->check(CLI::Range(1, 2000));
    app.add_option("--replicas", options.plan.replicas, "Servers of each shard")->capture_default_str()->check(CLI::Range(1, 8));
    app.add_option("--batches", options.plan.batchesPerShard, "Batches in each shard")->capture_default_str();
    app.add_option("--zones", options.plan.zones, "Availability zones over which the replicas are spread")->delimiter(',');
    app.add_option("--slots", options.plan.behaviour.slots, "Requests that a server runs concurrently")->capture_default_str();
    app.add_option("--max-queue", options.plan.behaviour.maxQueue, "Requests that may wait at a server before it sheds load")->capture_default_str();
    app.add_option("--connections", options.plan.limits.connectionCap, "Maximum connections to a server")->capture_default_str();
    app.add_option("--connect-us", options.connectMicros, "Cost of a new connection, microseconds")->capture_default_str();
    app.add_option("--service-us", options.serviceMicros, "Mean service time, microseconds")->capture_default_str();
    app.add_option("--cold-ms", options.coldMillis, "Time of slower service after a start, milliseconds")->capture_default_str();
    app.add_option("--version-every-ms", options.versionPeriodMillis, "Interval between index versions, milliseconds; 0: no new versions")->capture_default_str();
    app.add_option("--restart-ms", options.restartMillis, "Time from a crash to the restart, milliseconds")->capture_default_str();
    app.add_option("--port-file", options.portFile, "File to write the port of the control calls under /standin/ to");
    app.add_option("--history", options.plan.historyPath, "File for the run history of the servers, one JSON object per line");
    app.add_option("--seed", options.plan.seed, "Random seed of the service times and faults")->capture_default_str();
}

FleetPlan planOf(const Options& options)
{
    FleetPlan plan = options.plan;
    plan.behaviour.meanServiceTime = Duration(options.serviceMicros);
    plan.behaviour.coldStart = std::chrono::milliseconds(options.coldMillis);
    plan.behaviour.restartTime = std::chrono::milliseconds(options.restartMillis);
    plan.limits.connectCost = Duration(options.connectMicros);
    plan.versionPeriod = std::chrono::milliseconds(options.versionPeriodMillis);
    return plan;
}

}

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the backend servers of one service");
    Options options;
    addOptions(app, options);
    if (const auto code = parseArguments(app, argc, argv, std::cout, std::cerr))
        return static_cast<int>(*code);
    setUpLogging(options.logFormat.value_or(LogFormat::Text));
    boost::asio::io_context io;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    const SteadyClock clock;
    BackendFleet fleet(io, planOf(options), { options.platformAddress, options.platformPort }, clock);
    try {
        fleet.start();
    } catch (const std::exception& e) {
        logChange(LogLevel::Error, "the stand-in fleet failed to start; the program exits", { { "why", e.what() } });
        return static_cast<int>(ExitCode::Failure);
    }
    if (!options.portFile.empty())
        std::ofstream(options.portFile) << fleet.controlPort() << '\n';
    logChange(LogLevel::Info, "the stand-in fleet started", { { "service", options.plan.service } });
    io.run();
    return 0;
}
