#include "cli/operator_cli.h"

#include "base/endpoint_text.h"
#include "base/random_source.h"
#include "cli/fleet_status.h"
#include "cli/network_access.h"
#include "cli/program_options.h"
#include "cli/rule_commands.h"
#include "settings/setting_key.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <sstream>

namespace lycheefield {

namespace {

constexpr double defaultWaitSeconds = 10;

struct Options {
    std::string platform;
    std::string settingsFile;
    std::optional<LogFormat> format;
    std::string argument;
    std::optional<std::uint64_t> revision;
    ApplyOptions apply;
    double waitSeconds = defaultWaitSeconds;
};

/// CLI11's object of each subcommand.
struct Commands {
    CLI::App* check = nullptr;
    CLI::App* diff = nullptr;
    CLI::App* apply = nullptr;
    CLI::App* history = nullptr;
    CLI::App* status = nullptr;
    CLI::App* explain = nullptr;
    CLI::App* cancel = nullptr;
    CLI::App* settings = nullptr;
};

Commands addCommands(CLI::App& app, Options& options)
{
    addProgramOptions(app, options.format);
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--platform", options.platform, "IP:PORT of the platform's service");
    app.add_option("--settings", options.settingsFile, "Settings file of an instance, from which the platform's address is read");
    Commands commands;
    commands.check = app.add_subcommand("check", "Check a rule file; with --platform or --settings also against the catalog");
    commands.diff = app.add_subcommand("diff", "Show the difference between a rule file and the accepted rules");
    commands.apply = app.add_subcommand("apply", "Submit a rule file and wait until its rules are in force on every instance");
    for (auto* it : { commands.check, commands.diff, commands.apply })
        it->add_option("FILE", options.argument, "The rule file")->required();
    commands.apply->add_option("--base", options.revision, "Revision that the file was made from; default: the file's first line '# revision N'");
    commands.apply->add_option("--who", options.apply.who, "Your name, for the history; default: $USER");
    commands.apply->add_option("--wait", options.waitSeconds, "Longest wait for the rules to be in force on every instance, in seconds")->check(CLI::Range(0.0, 3600.0))->capture_default_str();
    commands.history = app.add_subcommand("history", "List the accepted revisions, or print one of them");
    commands.history->add_option("REVISION", options.revision, "Print the rule file of this revision");
    commands.status = app.add_subcommand("status", "Show the state and the revision in force of every instance");
    commands.explain = app.add_subcommand("explain", "Show what happened to a request");
    commands.cancel = app.add_subcommand("cancel", "Cancel a request");
    for (auto* it : { commands.explain, commands.cancel })
        it->add_option("REQUEST-ID", options.argument, "The X-Request-Id of the request")->required();
    commands.settings = app.add_subcommand("settings", "List every key of the settings file");
    return commands;
}

std::optional<Endpoint> endpointFromSettings(const std::string& path, Report& report)
{
    const auto parsed = loadSettings(path);
    if (const auto* settings = std::get_if<Settings>(&parsed))
        return settings->platform.endpoint;
    reportSettingErrors(std::get<std::vector<SettingError>>(parsed), report);
    return std::nullopt;
}

/// Reports the reason and returns nothing when no valid address was given.
std::optional<Endpoint> platformOf(const Options& options, Report& report)
{
    if (options.platform.empty() && !options.settingsFile.empty())
        return endpointFromSettings(options.settingsFile, report);
    if (options.platform.empty()) {
        report.error({ ErrorKind::InvalidInput, "the platform's address is missing", "give --platform IP:PORT or --settings FILE" });
        return std::nullopt;
    }
    const auto endpoint = parseEndpoint(options.platform);
    if (!endpoint) {
        report.error(endpoint.error());
        return std::nullopt;
    }
    return endpoint.value();
}

std::string wallClock()
{
    const auto now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    std::tm utc {};
    gmtime_r(&now, &utc);
    char buf[32];
    std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return buf;
}

std::string newApplyId()
{
    char buf[40];
    std::snprintf(buf, sizeof(buf), "%016llx%016llx", static_cast<unsigned long long>(systemSeed()), static_cast<unsigned long long>(systemSeed()));
    return buf;
}

std::string userName()
{
    const char* name = std::getenv("USER");
    return name && *name ? name : "unknown";
}

ExitCode runApply(Options& options, OperatorAccess& access, Report& report)
{
    auto& apply = options.apply;
    apply.file = options.argument;
    apply.base = options.revision;
    apply.when = wallClock();
    apply.applyId = newApplyId();
    apply.wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(options.waitSeconds));
    if (apply.who.empty())
        apply.who = userName();
    return applyRuleFile(apply, access, report);
}

ExitCode runCommand(const Commands& commands, Options& options, Report& report)
{
    if (commands.settings->parsed()) {
        report.text(describeSettings());
        return ExitCode::Ok;
    }
    const bool isOffline = options.platform.empty() && options.settingsFile.empty();
    if (commands.check->parsed() && isOffline)
        return checkRuleFile(options.argument, nullptr, report);
    const auto platform = platformOf(options, report);
    if (!platform)
        return ExitCode::Usage;
    const auto access = makeNetworkAccess(*platform);
    if (commands.check->parsed())
        return checkRuleFile(options.argument, access.get(), report);
    if (commands.diff->parsed())
        return diffRuleFile(options.argument, *access, report);
    if (commands.apply->parsed())
        return runApply(options, *access, report);
    if (commands.history->parsed())
        return showHistory(options.revision, *access, report);
    if (commands.status->parsed())
        return showStatus(*access, report);
    if (commands.explain->parsed())
        return explainRequest(options.argument, *access, report);
    return cancelRequest(options.argument, *access, report);
}

}

int runOperatorCli(int argc, char** argv, std::ostream& out, std::ostream& err)
{
    CLI::App app("Operators' tool for lycheefield.", "lycheefield");
    Options options;
    const auto commands = addCommands(app, options);
    if (const auto code = parseArguments(app, argc, argv, out, err))
        return static_cast<int>(*code);
    Report report(out, err, options.format == LogFormat::Json);
    return static_cast<int>(runCommand(commands, options, report));
}

}
