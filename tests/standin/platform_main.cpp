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
    app.add_option("--address", options.address, "IP number to listen on")->capture_default_str();
    app.add_option("--port", options.port, "Port to listen on; 0: the kernel chooses")->capture_default_str();
    app.add_option("--port-file", options.portFile, "File to write the port to once it listens");
    app.add_option("--calls-per-second", options.faults.callsPerSecond, "Rate limit; 0: none")->capture_default_str();
    app.add_option("--delay-us", options.delayUs, "Microseconds added to every answer")->capture_default_str();
    app.add_option("--instance-lag-us", options.instanceLagUs, "Microseconds by which the instance list lags")->capture_default_str();
    app.add_option("--lose-write-answers", options.faults.loseWriteAnswers, "The next N writes take effect, answers lost")->capture_default_str();
    app.add_option("--late-writes", options.faults.lateWrites, "The next N writes take effect later, answers lost")->capture_default_str();
    app.add_option("--late-by-us", options.lateByUs, "Microseconds by which late writes are late")->capture_default_str();
    app.add_flag("--outage", options.faults.outage, "Start with an outage in force");
}

/// Written beside it and renamed, so that a reader never sees half a number.
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
            logChange(LogLevel::Error, "the port file can't be written; choose another with --port-file", { { "file", options.portFile } });
            return static_cast<int>(ExitCode::Failure);
        }
        logChange(LogLevel::Info, "platform started", { { "address", options.address }, { "port", std::to_string(port) } });
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
        context.run();
    } catch (const std::exception& e) {
        logChange(LogLevel::Error, "the platform did not start", { { "why", e.what() } });
        return static_cast<int>(ExitCode::Failure);
    }
    return 0;
}
