#include "cli/fleet_status.h"

#include "base/request_id.h"

#include <boost/json.hpp>

#include <algorithm>

namespace lycheefield {

namespace {

namespace json = boost::json;

constexpr auto requestPath = "/v1/requests/";
constexpr unsigned firstErrorStatus = 300;

void readStatus(const std::string& body, InstanceStatus& status)
{
    json::error_code ec;
    const auto value = json::parse(body, ec);
    if (ec || !value.is_object())
        return;
    const auto& object = value.get_object();
    status.answered = true;
    if (const auto* ready = object.if_contains("ready"))
        status.ready = ready->is_bool() && ready->get_bool();
    if (const auto* reason = object.if_contains("reason"); reason && reason->is_string())
        status.reason = reason->get_string();
    if (const auto* rules = object.if_contains("rules"); rules && rules->is_int64())
        status.rules = RuleRevision(static_cast<std::uint64_t>(rules->get_int64()));
    if (const auto* n = object.if_contains("requests_in_flight"); n && n->is_int64())
        status.inFlight = static_cast<std::size_t>(n->get_int64());
}

Error noInstanceListError()
{
    return Error { ErrorKind::Unavailable, "the platform returned no list of instances", "check the address given with --platform, or try again later" };
}

/// Moves the instance that took the request to the front.
std::vector<Instance> entryInstanceFirst(std::vector<Instance> instances, const RequestId& id)
{
    std::stable_partition(instances.begin(), instances.end(), [&](const auto& it) { return it.life == id.life; });
    return instances;
}

/// Returns the lines of an explanation as text; any other body is returned unchanged, with a final newline.
std::string explanationText(const std::string& body)
{
    json::error_code ec;
    const auto value = json::parse(body, ec);
    const auto* lines = !ec && value.is_object() ? value.get_object().if_contains("lines") : nullptr;
    if (!lines || !lines->is_array())
        return body.ends_with('\n') ? body : body + "\n";
    std::string text;
    for (const auto& it : lines->get_array()) {
        if (it.is_string())
            text += std::string(it.get_string()) + "\n";
    }
    return text;
}

/// Calls one instance after the other until one of them knows the request, and prints the response.
ExitCode callUntilFound(const std::string& method, const std::string& text, const Error& notFound, OperatorAccess& access, Report& report)
{
    const auto id = RequestId::parse(text);
    if (!id) {
        report.error({ ErrorKind::InvalidInput, "'" + text + "' is not a request id", "give the 32 hexadecimal digits of the answer's X-Request-Id header" });
        return ExitCode::Usage;
    }
    const auto instances = access.instances();
    if (!instances) {
        report.error(noInstanceListError());
        return ExitCode::Failure;
    }
    for (const auto& it : entryInstanceFirst(*instances, *id)) {
        const auto response = access.call(it, { method, requestPath + text, {}, {} });
        if (!response || response->status >= firstErrorStatus)
            continue;
        report.line(it.name.value() + ":");
        report.text(explanationText(response->body));
        return ExitCode::Ok;
    }
    report.error(notFound);
    return ExitCode::Failure;
}

}

std::vector<InstanceStatus> readFleet(OperatorAccess& access)
{
    std::vector<InstanceStatus> fleet;
    for (const auto& it : access.instances().value_or(std::vector<Instance>())) {
        if (!it.canOwn())
            continue;
        InstanceStatus status;
        status.instance = it;
        if (const auto response = access.call(it, { "GET", "/status", {}, {} }))
            readStatus(response->body, status);
        fleet.push_back(std::move(status));
    }
    return fleet;
}

ExitCode showStatus(OperatorAccess& access, Report& report)
{
    const auto fleet = readFleet(access);
    if (fleet.empty()) {
        report.error(noInstanceListError());
        return ExitCode::Failure;
    }
    bool isGood = true;
    for (const auto& it : fleet) {
        const auto state = !it.answered ? "does not answer" : it.ready ? "ready"
                                                                       : "not ready: " + it.reason;
        report.line(it.instance.name.value() + " in " + it.instance.zone.value() + " at " + it.instance.http.toString() + ": " + state
            + ", rules " + std::to_string(it.rules.value()) + ", " + std::to_string(it.inFlight) + " requests in flight");
        isGood = isGood && it.ready;
    }
    return isGood ? ExitCode::Ok : ExitCode::Failure;
}

ExitCode explainRequest(const std::string& id, OperatorAccess& access, Report& report)
{
    const Error notFound { ErrorKind::NotFound, "no instance knows this request",
        "the instance that took the request may have ended, or the request may be too old; the caller's answer holds its outcome" };
    return callUntilFound("GET", id, notFound, access, report);
}

ExitCode cancelRequest(const std::string& id, OperatorAccess& access, Report& report)
{
    const Error notFound { ErrorKind::NotFound, "no instance has this request in flight", "the request may have ended; see 'lycheefield explain'" };
    return callUntilFound("DELETE", id, notFound, access, report);
}

}
