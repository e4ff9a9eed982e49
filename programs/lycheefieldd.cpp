#include "daemon/daemon.h"
#include "observe/log.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace lycheefield;

namespace {

constexpr int failure = 1;
constexpr int usageError = 2;

struct Options {
    std::string settingsFile;
    std::string portsFile;
    std::string logFormat;
};

void addOptions(CLI::App& app, Options& options)
{
    app.set_version_flag("--version", LYCHEEFIELD_VERSION);
    app.add_option("--settings", options.settingsFile, "INI file with the settings")->required();
    app.add_option("--ports-file", options.portsFile, "File to write the chosen ports to once it listens");
    app.add_option("--log-format", options.logFormat, "text or json; takes precedence over the settings")->check(CLI::IsMember({ "text", "json" }));
}

int serve(const Settings& settings, const Options& options)
{
    Daemon daemon(settings);
    auto done = daemon.start();
    if (done && !options.portsFile.empty())
        done = daemon.writePorts(options.portsFile);
    if (!done) {
        std::cerr << "lycheefieldd: " << done.error() << '\n';
        return failure;
    }
    return daemon.run();
}

}

int main(int argc, char** argv)
{
    CLI::App app("One instance of lycheefield: takes callers' requests and sends them to backend servers.");
    Options options;
    addOptions(app, options);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& ex) {
        return app.exit(ex) == 0 ? 0 : usageError;
    }
    auto parsed = loadSettings(options.settingsFile);
    if (const auto* errors = std::get_if<std::vector<SettingError>>(&parsed)) {
        for (const auto& it : *errors)
            std::cerr << it << '\n';
        return usageError;
    }
    auto settings = std::get<Settings>(parsed);
    if (!options.logFormat.empty())
        settings.instance.logFormat = options.logFormat == "json" ? LogFormat::Json : LogFormat::Text;
    setUpLogging(settings.instance.logFormat);
    return serve(settings, options);
}
