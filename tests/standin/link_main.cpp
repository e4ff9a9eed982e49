#include "cli/program_options.h"
#include "observe/log.h"
#include "standin/link_server.h"

#include <boost/asio/signal_set.hpp>

#include <fstream>
#include <iostream>

using namespace lycheefield;
using namespace lycheefield::standin;

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the link between availability zones: an HTTP CONNECT proxy that adds a delay");
    std::int64_t delayMicros = 3000;
    std::int64_t retransmitMicros = 200000;
    std::uint64_t seed = 1;
    std::string portFile;
    LinkBehaviour behaviour;
    std::optional<LogFormat> logFormat;
    addProgramOptions(app, logFormat);
    app.add_option("--delay-us", delayMicros, "One-way delay, microseconds")->capture_default_str();
    app.add_option("--retransmit", behaviour.retransmitProbability, "Share of messages delayed by a retransmission")->capture_default_str()->check(CLI::Range(0.0, 1.0));
    app.add_option("--retransmit-us", retransmitMicros, "Delay of a retransmission, microseconds")->capture_default_str();
    app.add_option("--seed", seed, "Random seed of the retransmissions")->capture_default_str();
    app.add_option("--port-file", portFile, "File to write the chosen port to")->required();
    if (const auto code = parseArguments(app, argc, argv, std::cout, std::cerr))
        return static_cast<int>(*code);
    setUpLogging(logFormat.value_or(LogFormat::Text));
    behaviour.delay = Duration(delayMicros);
    behaviour.retransmitTime = Duration(retransmitMicros);
    boost::asio::io_context io;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    const SteadyClock clock;
    const auto link = std::make_shared<LinkServer>(io, behaviour, seed, clock);
    try {
        link->listen("127.0.0.1");
    } catch (const std::exception& e) {
        logChange(LogLevel::Error, "the stand-in link failed to start; the program exits", { { "why", e.what() } });
        return static_cast<int>(ExitCode::Failure);
    }
    std::ofstream(portFile) << link->port() << '\n';
    logChange(LogLevel::Info, "the stand-in link started", { { "port", std::to_string(link->port()) } });
    io.run();
    return 0;
}
