#include "cli/program_options.h"
#include "observe/log.h"
#include "standin/platform_server.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

using namespace lycheefield;
using namespace lycheefield::standin;

namespace {

struct Options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string portFile;
    std::optional<LogFormat> logFormat;
    PlatformFaults faults;
    std::int64_t delayUs = 0;
    std::int64_t instanceLagUs = 0;
    std::int64_t lateByUs = 100000;
};

void addOptions(CLI::App& app, Options& options)
{
    addProgramOptions(app, options.logFormat);
    app.add_option("--address", options.address, "IP address to listen on")->capture_default_str();
    app.add_option("--port", options.port, "Port to listen on; 0: the kernel chooses")->capture_default_str();
    app.add_option("--port-file", options.portFile, "File to write the port to once the platform listens");
    app.add_option("--calls-per-second", options.faults.callsPerSecond, "Rate limit; 0: none")->capture_default_str();
    app.add_option("--delay-us", options.delayUs, "Microseconds by which every response is delayed")->capture_default_str();
    app.add_option("--instance-lag-us", options.instanceLagUs, "Microseconds by which the instance list lags")->capture_default_str();
    app.add_option("--lose-write-answers", options.faults.loseWriteAnswers, "The next N writes take effect and get no response")->capture_default_str();
    app.add_option("--late-writes", options.faults.lateWrites, "The next N writes take effect late and get no response")->capture_default_str();
    app.add_option("--late-by-us", options.lateByUs, "Microseconds from the arrival of a late write until it takes effect")->capture_default_str();
    app.add_flag("--outage", options.faults.outage, "Start with an outage in force");
}

/// Writes a temporary file and renames it, so that a reader never sees an incomplete number.
bool writePortFile(const std::string& path, std::uint16_t port)
{
    const std::string draft = path + ".tmp";
    std::ofstream out(draft);
    out << port << '\n';
    out.close();
    return out && std::rename(draft.c_str(), path.c_str()) == 0;
}

}

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the platform: object API and instance list over HTTP, with faults under /standin/.");
    Options options;
    addOptions(app, options);
    if (const auto code = parseArguments(app, argc, argv, std::cout, std::cerr))
        return static_cast<int>(*code);
    options.faults.delay = Duration(options.delayUs);
    options.faults.instanceLag = Duration(options.instanceLagUs);
    options.faults.lateBy = Duration(options.lateByUs);

    setUpLogging(options.logFormat.value_or(LogFormat::Text));
    try {
        boost::asio::io_context context(1);
        PlatformServer server(context, options.faults);
        const auto port = server.listen(options.address, options.port);
        if (!options.portFile.empty() && !writePortFile(options.portFile, port)) {
            logChange(LogLevel::Error, "the port file can't be written and the program exits; choose another file with --port-file", { { "file", options.portFile } });
            return static_cast<int>(ExitCode::Failure);
        }
        logChange(LogLevel::Info, "the stand-in platform started", { { "address", options.address }, { "port", std::to_string(port) } });
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
        context.run();
    } catch (const std::exception& e) {
        logChange(LogLevel::Error, "the stand-in platform failed to start; the program exits", { { "why", e.what() } });
        return static_cast<int>(ExitCode::Failure);
    }
    return 0;
}
