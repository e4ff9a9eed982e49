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
    std::int64_t versionEveryMillis = 0;
    std::int64_t restartMillis = 2000;
    std::string portFile;
    std::optional<LogFormat> logFormat;
};

void addOptions(CLI::App& app, Options& options)
{
    addProgramOptions(app, options.logFormat);
    app.add_option("--platform-address", options.platformAddress, "IP number of the platform")->capture_default_str();
    app.add_option("--platform-port", options.platformPort, "Port of the platform")->required();
    app.add_option("--service", options.plan.service, "Name of the service")->capture_default_str();
    app.add_option("--shards", options.plan.shards, "Shards of the service")->capture_default_str()->check(CLI::Range(1, 2000));
    app.add_option("--replicas", options.plan.replicas, "Servers of each shard")->capture_default_str()->check(CLI::Range(1, 8));
    app.add_option("--batches", options.plan.batchesPerShard, "Batches in each shard")->capture_default_str();
    app.add_option("--zones", options.plan.zones, "Availability zones, over which replicas are spread")->delimiter(',');
    app.add_option("--slots", options.plan.behaviour.slots, "Requests that a server runs at one time")->capture_default_str();
    app.add_option("--max-queue", options.plan.behaviour.maxQueue, "Requests that wait at a server before it sheds")->capture_default_str();
    app.add_option("--connections", options.plan.limits.connectionCap, "Connections that a server accepts")->capture_default_str();
    app.add_option("--connect-us", options.connectMicros, "Cost of a new connection, microseconds")->capture_default_str();
    app.add_option("--service-us", options.serviceMicros, "Mean service time, microseconds")->capture_default_str();
    app.add_option("--cold-ms", options.coldMillis, "Cold start, milliseconds")->capture_default_str();
    app.add_option("--version-every-ms", options.versionEveryMillis, "A new index version this often, milliseconds; 0: never")->capture_default_str();
    app.add_option("--restart-ms", options.restartMillis, "From a crash to the restart, milliseconds")->capture_default_str();
    app.add_option("--port-file", options.portFile, "File that gets the port of the control calls under /standin/");
    app.add_option("--history", options.plan.historyPath, "File for all that the servers run and give, one JSON object a line");
    app.add_option("--seed", options.plan.seed, "Seed of the service times")->capture_default_str();
}

FleetPlan planOf(const Options& options)
{
    FleetPlan plan = options.plan;
    plan.behaviour.meanServiceTime = Duration(options.serviceMicros);
    plan.behaviour.coldStart = std::chrono::milliseconds(options.coldMillis);
    plan.behaviour.restartTime = std::chrono::milliseconds(options.restartMillis);
    plan.limits.connectCost = Duration(options.connectMicros);
    plan.versionEvery = std::chrono::milliseconds(options.versionEveryMillis);
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
        logChange(LogLevel::Error, "the fleet did not start", { { "why", e.what() } });
        return static_cast<int>(ExitCode::Failure);
    }
    if (!options.portFile.empty())
        std::ofstream(options.portFile) << fleet.controlPort() << '\n';
    logChange(LogLevel::Info, "fleet started", { { "service", options.plan.service } });
    io.run();
    return 0;
}
