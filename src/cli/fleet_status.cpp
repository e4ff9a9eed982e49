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

Error noList()
{
    return Error { ErrorKind::Unavailable, "the platform gives no list of instances", "check --platform, or try again later" };
}

/// The instance that took the request first, then all others.
std::vector<Instance> askOrder(std::vector<Instance> instances, const RequestId& id)
{
    std::stable_partition(instances.begin(), instances.end(), [&](const auto& it) { return it.life == id.life; });
    return instances;
}

/// The lines of an explanation, one below the other; any other body as it is.
std::string inWords(const std::string& body)
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

/// Sends a request about a request until an instance knows it.
ExitCode askAboutRequest(const std::string& method, const std::string& text, const Error& notFound, OperatorAccess& access, Report& report)
{
    const auto id = RequestId::parse(text);
    if (!id) {
        report.error({ ErrorKind::InvalidInput, "'" + text + "' is no request id", "give the 32 hexadecimal digits of X-Request-Id" });
        return ExitCode::Usage;
    }
    const auto instances = access.instances();
    if (!instances) {
        report.error(noList());
        return ExitCode::Failure;
    }
    for (const auto& it : askOrder(*instances, *id)) {
        const auto reply = access.call(it, { method, requestPath + text, {}, {} });
        if (!reply || reply->status >= firstErrorStatus)
            continue;
        report.line(it.name.value() + ":");
        report.text(inWords(reply->body));
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
        if (const auto reply = access.call(it, { "GET", "/status", {}, {} }))
            readStatus(reply->body, status);
        fleet.push_back(std::move(status));
    }
    return fleet;
}

ExitCode showStatus(OperatorAccess& access, Report& report)
{
    const auto fleet = readFleet(access);
    if (fleet.empty()) {
        report.error(noList());
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
        "the instance that took it may be gone, or the request too old; its outcome is in the answer that the caller got" };
    return askAboutRequest("GET", id, notFound, access, report);
}

ExitCode cancelRequest(const std::string& id, OperatorAccess& access, Report& report)
{
    const Error notFound { ErrorKind::NotFound, "no instance has this request in flight", "it may have ended; see 'lycheefield explain'" };
    return askAboutRequest("DELETE", id, notFound, access, report);
}

}
