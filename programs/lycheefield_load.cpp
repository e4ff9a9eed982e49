#include "base/clock.h"
#include "base/endpoint_text.h"
#include "cli/program_options.h"
#include "cli/report.h"
#include "load/load_plan.h"
#include "load/load_report.h"
#include "load/load_runner.h"

#include <fstream>
#include <iostream>

using namespace lycheefield;

namespace {

struct Options {
    std::vector<std::string> targets;
    std::vector<std::string> baseline;
    std::vector<std::string> resendTargets;
    std::vector<std::string> classes { "search:/search/quotes:search:1:1000" };
    double seconds = 5;
    double warmUpSeconds = 1;
    double timeoutSeconds = 10;
    std::optional<LogFormat> logFormat;
    LoadPlan plan;
};

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void addOptions(CLI::App& app, Options& options)
{
    addProgramOptions(app, options.logFormat);
    app.add_option("--target", options.targets, "address:port of an instance under test; repeatable")->required();
    app.add_option("--baseline", options.baseline, "address:port of a baseline instance; rounds then alternate between the two sides; repeatable");
    app.add_option("--class", options.classes, "Request class as name:path:search|record|order:weight:deadline-ms; repeatable")->capture_default_str();
    app.add_option("--rate", options.plan.ratePerSecond, "Requests per second, open loop")->capture_default_str()->check(CLI::PositiveNumber);
    app.add_option("--seconds", options.seconds, "Length of a round, in seconds")->capture_default_str()->check(CLI::PositiveNumber);
    app.add_option("--warm-up", options.warmUpSeconds, "Length of the uncounted load before each round, in seconds")->capture_default_str();
    app.add_option("--rounds", options.plan.rounds, "Rounds per side")->capture_default_str()->check(CLI::Range(1, 1000));
    app.add_option("--timeout", options.timeoutSeconds, "Time-out of a request, in seconds; a later answer does not count")->capture_default_str();
    app.add_option("--connections", options.plan.maxConnections, "Most connections in total; requests beyond them are not sent")->capture_default_str();
    app.add_option("--seed", options.plan.seed, "Seed of the arrival times and the request mix")->capture_default_str();
    app.add_option("--resend", options.plan.resends, "Most resends of an order without a complete answer, with the same key, to another target")->capture_default_str();
    app.add_option("--resend-target", options.resendTargets, "address:port of an instance that receives resent orders; repeatable; default: the targets");
    app.add_option("--history", options.plan.historyPath, "File for each call and its whole answer, one JSON object per line");
    app.add_option("--csv", options.plan.csvPath, "File for the observations, one line each");
}

bool parseEndpoints(const std::vector<std::string>& texts, std::vector<Endpoint>& into, Report& report)
{
    for (const auto& it : texts) {
        const auto endpoint = parseEndpoint(it);
        if (!endpoint) {
            report.error(endpoint.error());
            return false;
        }
        into.push_back(endpoint.value());
    }
    return true;
}

bool addSide(Options& options, const std::string& name, const std::vector<std::string>& targets, Report& report)
{
    LoadSide side { name, {}, {} };
    if (!parseEndpoints(targets, side.targets, report) || !parseEndpoints(options.resendTargets, side.resendTargets, report))
        return false;
    options.plan.sides.push_back(std::move(side));
    return true;
}

bool completePlan(Options& options, Report& report)
{
    auto& plan = options.plan;
    plan.roundLength = fromSeconds(options.seconds);
    plan.warmUp = fromSeconds(options.warmUpSeconds);
    plan.timeout = fromSeconds(options.timeoutSeconds);
    for (const auto& it : options.classes) {
        const auto requestClass = parseRequestClass(it);
        if (!requestClass) {
            report.error(requestClass.error());
            return false;
        }
        plan.classes.push_back(requestClass.value());
    }
    return addSide(options, "candidate", options.targets, report) && (options.baseline.empty() || addSide(options, "baseline", options.baseline, report));
}

}

int main(int argc, char** argv)
{
    CLI::App app("Open-loop load generator for lycheefield instances; latency is measured from the intended send time");
    Options options;
    addOptions(app, options);
    if (const auto code = parseArguments(app, argc, argv, std::cout, std::cerr))
        return static_cast<int>(*code);
    Report report(std::cout, std::cerr, options.logFormat == LogFormat::Json);
    if (!completePlan(options, report))
        return static_cast<int>(ExitCode::Usage);
    const SteadyClock clock;
    LoadRunner runner(options.plan, clock);
    const auto observations = runner.run();
    writeReport(std::cout, options.plan, observations);
    if (!runner.isHistoryWritten()) {
        report.error({ ErrorKind::Unavailable, "can't write " + options.plan.historyPath, "choose another file with --history" });
        return static_cast<int>(ExitCode::Failure);
    }
    if (options.plan.csvPath.empty())
        return 0;
    std::ofstream csv(options.plan.csvPath);
    writeCsv(csv, options.plan, observations);
    if (!csv.flush()) {
        report.error({ ErrorKind::Unavailable, "can't write " + options.plan.csvPath, "choose another file with --csv" });
        return static_cast<int>(ExitCode::Failure);
    }
    return 0;
}
