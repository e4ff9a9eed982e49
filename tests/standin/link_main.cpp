#include "standin/link_server.h"

#include <CLI/CLI.hpp>

#include <boost/asio/signal_set.hpp>

#include <fstream>

using namespace lycheefield;
using namespace lycheefield::standin;

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the link between availability zones: HTTP CONNECT with a delay");
    app.set_version_flag("--version", LYCHEEFIELD_VERSION);
    std::int64_t delayMicros = 3000;
    std::int64_t retransmitMicros = 200000;
    std::uint64_t seed = 1;
    std::string portFile;
    LinkBehaviour behaviour;
    app.add_option("--delay-us", delayMicros, "One way, microseconds")->capture_default_str();
    app.add_option("--retransmit", behaviour.retransmitProbability, "Share of messages delayed by a retransmission")->capture_default_str()->check(CLI::Range(0.0, 1.0));
    app.add_option("--retransmit-us", retransmitMicros, "Delay of a retransmission, microseconds")->capture_default_str();
    app.add_option("--seed", seed, "Seed of the losses")->capture_default_str();
    app.add_option("--port-file", portFile, "File that gets the chosen port")->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    behaviour.delay = Duration(delayMicros);
    behaviour.retransmitTime = Duration(retransmitMicros);
    boost::asio::io_context io;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    const SteadyClock clock;
    const auto link = std::make_shared<LinkServer>(io, behaviour, seed, clock);
    link->listen("127.0.0.1");
    std::ofstream(portFile) << link->port() << '\n';
    io.run();
    return 0;
}
