// Measures the time from the acceptance of a rule change until the change is in force on every instance of a running system.

#include "cli/fleet_status.h"
#include "cli/network_access.h"
#include "rules/rule_writer.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

namespace json = boost::json;

struct Options {
    std::uint16_t platformPort = 0;
    std::uint64_t changes = 100;
    bool outage = false; ///< The store becomes unreachable as soon as a change is accepted.
};

/// A change that is not in force after this time counts as failed.
constexpr Duration changeTimeout = 20s;
constexpr Duration pauseBetweenChanges = 100ms;
/// Time after an outage for the instances to watch the store again.
constexpr Duration watchRecoveryTime = 6s;

class RulesBench {
public:
    explicit RulesBench(const Options& options)
        : m_options(options)
        , m_access(makeNetworkAccess({ "127.0.0.1", options.platformPort }))
    {
        m_platform.http = { "127.0.0.1", options.platformPort };
        m_instances = m_access->instances().value_or(std::vector<Instance>());
    }

    int run()
    {
        const auto before = storeCalls();
        const auto started = m_access->now();
        m_access->pause(5s);
        const auto idleRate = (storeCalls() - before) / seconds(m_access->now() - started);
        const auto first = storeCalls();
        const auto changesStarted = m_access->now();
        std::vector<double> times;
        for (std::uint64_t i = 0; i < m_options.changes; ++i)
            times.push_back(timeChange(i));
        const auto background = idleRate * seconds(m_access->now() - changesStarted);
        const auto perChange = (storeCalls() - first - background) / static_cast<double>(m_options.changes);
        std::sort(times.begin(), times.end());
        const auto at = [&](double quantile) { return times[static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(times.size()))) - 1]; };
        std::printf("instances=%zu changes=%zu p50_s=%.3f p99_s=%.3f max_s=%.3f store_calls=%.1f idle_calls_per_s=%.1f\n", m_instances.size(), times.size(), at(0.5), at(0.99),
            times.back(), perChange, idleRate);
        return times.back() < seconds(changeTimeout) ? 0 : 1;
    }

private:
    static double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double storeCalls()
    {
        const auto response = m_access->call(m_platform, { "GET", "/standin/counters", {}, {} });
        if (!response)
            return 0;
        double calls = 0;
        const auto counters = json::parse(response->body);
        for (const auto* it : { "reads", "writes", "lists", "watches" })
            calls += static_cast<double>(json::value_to<std::int64_t>(counters.at(it)));
        return calls;
    }

    void setOutage(bool isOn)
    {
        m_access->call(m_platform, { "PUT", "/standin/faults", {}, isOn ? R"({"outage":true})" : R"({"outage":false})" });
    }

    /// Returns the revision in the store, which may not be in force on any instance yet.
    RuleRevision storedRevision()
    {
        const auto response = m_access->read(currentRulesKey);
        const auto rules = response.status == StoreStatus::Ok ? parseStoredRules(response.object.value) : Result<StoredRules>(Error());
        return rules ? rules.value().revision : RuleRevision();
    }

    RuleRevision accept(std::uint64_t i)
    {
        const auto base = storedRevision();
        std::string text;
        for (int line = 0; line < 20; ++line)
            text += "match /search/quotes" + std::string(line ? "/" + std::to_string(line) : "") + " service quotedesk kind search priority van deadline "
                + std::to_string(line == 7 ? 800 + i % 100 : 800) + "ms # asked by Ngozi (van team), 2026-11-30: measurement\n";
        RuleWriter writer({ base, {}, ApplyId("bench" + std::to_string(i)), "bench", "", text });
        auto action = writer.start();
        for (;;) {
            if (const auto* read = std::get_if<ReadRulesObject>(&action)) {
                const auto response = m_access->read(read->key);
                action = writer.onRead(response.status, response.object);
            } else if (const auto* write = std::get_if<WriteRulesObject>(&action)) {
                action = writer.onWritten(m_access->write(write->key, write->expected, write->value).status);
            } else if (std::holds_alternative<PauseBeforeRetry>(action)) {
                m_access->pause(pauseBetweenChanges);
                action = writer.onRetry();
            } else if (const auto* accepted = std::get_if<RulesAccepted>(&action)) {
                return accepted->revision;
            } else {
                return {};
            }
        }
    }

    double timeChange(std::uint64_t i)
    {
        const auto revision = accept(i);
        const auto start = m_access->now();
        if (m_options.outage)
            setOutage(true);
        while (!isInForce(revision) && m_access->now() - start < changeTimeout)
            m_access->pause(1ms);
        const auto time = seconds(m_access->now() - start);
        if (m_options.outage) {
            setOutage(false);
            m_access->pause(watchRecoveryTime);
        }
        m_access->pause(pauseBetweenChanges);
        return revision.value() ? time : seconds(changeTimeout);
    }

    bool isInForce(RuleRevision revision)
    {
        return std::all_of(m_instances.begin(), m_instances.end(), [&](const auto& it) {
            const auto response = m_access->call(it, { "GET", "/status", {}, {} });
            if (!response || response->status != 200)
                return false;
            const auto status = json::parse(response->body);
            const auto inForce = json::value_to<std::uint64_t>(status.at("rules"));
            return inForce >= revision.value();
        });
    }

    Options m_options;
    std::unique_ptr<OperatorAccess> m_access;
    Instance m_platform;
    std::vector<Instance> m_instances;
};

}

int main(int argc, char** argv)
{
    CLI::App app("Measures the time from the acceptance of a rule change until the change is in force on every instance");
    Options options;
    app.add_option("--platform-port", options.platformPort, "Port of standin-platform")->required();
    app.add_option("--changes", options.changes, "Number of rule changes")->capture_default_str();
    app.add_flag("--outage", options.outage, "Make the store unreachable as soon as a change is accepted");
    CLI11_PARSE(app, argc, argv);
    return RulesBench(options).run();
}
