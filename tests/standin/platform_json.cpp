#include "standin/platform_json.h"

#include <boost/json.hpp>

namespace lycheefield::standin {

namespace json = boost::json;

namespace {

json::object toJson(const StoredObject& object)
{
    return { { "key", object.key }, { "version", object.version.value }, { "value", object.value } };
}

template <typename T>
bool take(const json::object& from, std::string_view name, T& into)
{
    const auto* value = from.if_contains(name);
    if (!value)
        return true;
    const auto parsed = json::try_value_to<T>(*value);
    if (!parsed)
        return false;
    into = *parsed;
    return true;
}

bool takeDuration(const json::object& from, std::string_view name, Duration& into)
{
    std::int64_t microseconds = into.count();
    if (!take(from, name, microseconds))
        return false;
    into = Duration(microseconds);
    return true;
}

std::optional<json::object> parseObject(const std::string& text)
{
    json::error_code ec;
    auto value = json::parse(text, ec);
    if (ec || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

}

std::string objectJson(const StoredObject& object)
{
    return json::serialize(toJson(object));
}

std::string versionJson(ObjectVersion version)
{
    return json::serialize(json::object { { "version", version.value } });
}

std::string listJson(std::uint64_t revision, const std::vector<StoredObject>& objects)
{
    json::array all;
    for (const auto& object : objects)
        all.push_back(toJson(object));
    return json::serialize(json::object { { "revision", revision }, { "objects", std::move(all) } });
}

std::string instancesJson(const InstanceReports& reports)
{
    std::string out = R"({"instances":[)";
    for (const auto& [name, report] : reports) {
        if (out.back() != '[')
            out += ',';
        out += report;
    }
    return out + "]}";
}

std::string countersJson(const PlatformCounters& counters)
{
    return json::serialize(json::object {
        { "reads", counters.reads },
        { "writes", counters.writes },
        { "lists", counters.lists },
        { "watches", counters.watches },
        { "instance-calls", counters.instanceCalls },
        { "conflicts", counters.conflicts },
        { "rate-limited", counters.rateLimited },
        { "refused-in-outage", counters.refusedInOutage },
        { "lost-answers", counters.lostResponses },
        { "bytes-written", counters.bytesWritten },
    });
}

std::string faultsJson(const PlatformFaults& faults)
{
    return json::serialize(json::object {
        { "outage", faults.outage },
        { "delay-us", faults.delay.count() },
        { "lose-write-answers", faults.loseWriteAnswers },
        { "late-writes", faults.lateWrites },
        { "late-by-us", faults.lateBy.count() },
        { "instance-lag-us", faults.instanceLag.count() },
        { "calls-per-second", faults.callsPerSecond },
    });
}

std::optional<PlatformFaults> changeFaults(PlatformFaults faults, const std::string& text)
{
    const auto changes = parseObject(text);
    if (!changes)
        return std::nullopt;
    const bool ok = take(*changes, "outage", faults.outage)
        && takeDuration(*changes, "delay-us", faults.delay)
        && take(*changes, "lose-write-answers", faults.loseWriteAnswers)
        && take(*changes, "late-writes", faults.lateWrites)
        && takeDuration(*changes, "late-by-us", faults.lateBy)
        && takeDuration(*changes, "instance-lag-us", faults.instanceLag)
        && take(*changes, "calls-per-second", faults.callsPerSecond);
    if (!ok)
        return std::nullopt;
    return faults;
}

std::optional<std::string> instanceReport(const std::string& name, const std::string& text)
{
    auto report = parseObject(text);
    if (!report)
        return std::nullopt;
    (*report)["name"] = name;
    return json::serialize(*report);
}

}
