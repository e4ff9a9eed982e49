#include "cli/program_options.h"
#include "cli/report.h"
#include "daemon/daemon.h"
#include "observe/log.h"

#include <iostream>

using namespace lycheefield;

namespace {

struct Options {
    std::string settingsFile;
    std::string portsFile;
    std::optional<LogFormat> logFormat;
};

void addOptions(CLI::App& app, Options& options)
{
    addProgramOptions(app, options.logFormat);
    app.add_option("--settings", options.settingsFile, "INI file with the settings")->required();
    app.add_option("--ports-file", options.portsFile, "File to which the daemon writes its ports once it listens");
}

ExitCode serve(const Settings& settings, const Options& options, Report& report)
{
    Daemon daemon(settings);
    auto done = daemon.start();
    if (done && !options.portsFile.empty())
        done = daemon.writePorts(options.portsFile);
    if (!done) {
        report.error(done.error());
        return ExitCode::Failure;
    }
    return daemon.run() == 0 ? ExitCode::Ok : ExitCode::Failure;
}

}

int main(int argc, char** argv)
{
    CLI::App app("One instance of lycheefield: takes callers' requests and sends them to backend servers");
    Options options;
    addOptions(app, options);
    if (const auto code = parseArguments(app, argc, argv, std::cout, std::cerr))
        return static_cast<int>(*code);
    auto parsed = loadSettings(options.settingsFile);
    if (const auto* errors = std::get_if<std::vector<SettingError>>(&parsed)) {
        Report report(std::cout, std::cerr, options.logFormat == LogFormat::Json);
        reportSettingErrors(*errors, report);
        return static_cast<int>(ExitCode::Usage);
    }
    auto settings = std::get<Settings>(parsed);
    settings.instance.logFormat = options.logFormat.value_or(settings.instance.logFormat);
    setUpLogging(settings.instance.logFormat);
    Report report(std::cout, std::cerr, settings.instance.logFormat == LogFormat::Json);
    return static_cast<int>(serve(settings, options, report));
}
