#include "http/backend_message.h"

#include "base/digits.h"
#include "base/fingerprint.h"
#include "base/priority.h"

#include <boost/json.hpp>

#include <algorithm>

namespace lycheefield {

namespace json = boost::json;

namespace {

/// Upper bound of a server's Retry-After-Ms, in milliseconds.
constexpr std::uint64_t maxRetryAfterMillis = 60'000;

std::string_view kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Search:
        return "search";
    case RequestKind::Record:
        return "record";
    case RequestKind::Order:
        return "order";
    }
    return "search";
}

/// Calls the function with each non-empty item of a comma-separated list, without blanks around the item.
template <typename Function>
void forEachItem(std::string_view list, Function function)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        auto item = list.substr(0, comma);
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
        while (!item.empty() && item.front() == ' ')
            item.remove_prefix(1);
        while (!item.empty() && item.back() == ' ')
            item.remove_suffix(1);
        if (!item.empty())
            function(item);
    }
}

void addLegHeaders(HttpHeaders& headers, const LegKey& key)
{
    headers.add("X-Request-Id", key.request.toString());
    headers.add("X-Leg", std::to_string(key.leg.value()));
    headers.add("X-Attempt", std::to_string(key.attempt.value()));
}

bool isJson(const std::string& text)
{
    json::error_code ec;
    json::parse(text, ec);
    return !ec;
}

LegOutcome outcomeOf(unsigned status, std::string_view reason)
{
    if (status == 200)
        return LegOutcome::Ok;
    if (status == 409 && reason == "version-gone")
        return LegOutcome::VersionGone;
    if (status == 409 && reason == "shard-moved")
        return LegOutcome::ShardMoved;
    if (status == 503 && (reason == "shed" || reason == "draining" || reason == "cold"))
        return LegOutcome::Refused;
    if (status == 504 && reason == "expired")
        return LegOutcome::Expired;
    if (status == 499)
        return LegOutcome::Cancelled;
    return LegOutcome::Failed;
}

/// Reads the fields that only the response of a completed leg has. Sets the outcome to Failed when one is missing or malformed.
void readResult(HttpResponse& response, LegResponse& answer)
{
    const auto version = parseDigits(response.headers.find("X-Index-Version"));
    const auto epoch = parseDigits(response.headers.find("X-Partition-Epoch"));
    if (!version || !epoch) {
        answer.outcome = LegOutcome::Failed;
        answer.detail = "the response lacks a valid X-Index-Version or X-Partition-Epoch header";
        return;
    }
    if (!isJson(response.body)) {
        answer.outcome = LegOutcome::Failed;
        answer.detail = "the body of the response is not JSON";
        return;
    }
    answer.version = IndexVersion(*version);
    answer.epoch = PartitionEpoch(*epoch);
    forEachItem(response.headers.find("X-Batches"), [&](std::string_view item) { answer.batches.emplace_back(std::string(item)); });
    answer.body = std::move(response.body);
}

}

HttpRequest formatRunRequest(const WorkOrder& work, TimePoint now)
{
    const auto& leg = work.legs.front();
    const LegKey key { work.request, leg.leg, leg.attempt };
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/run";
    auto& headers = request.headers;
    addLegHeaders(headers, key);
    headers.add("X-Service", work.service.value());
    headers.add("X-Shard", std::to_string(leg.shard.value()));
    headers.add("X-Kind", std::string(kindName(work.kind)));
    headers.add("X-Index-Version", std::to_string(work.version.value()));
    headers.add("X-Partition-Epoch", std::to_string(work.epoch.value()));
    headers.add("X-Deadline-Us", std::to_string(std::max<std::int64_t>(0, (work.deadline - now).count())));
    headers.add("X-Priority", std::string(toString(work.priority)));
    if (!work.traceparent.empty())
        headers.add("traceparent", work.traceparent);
    if (work.body)
        request.body = *work.body;
    return request;
}

HttpRequest formatCancelRequest(const LegKey& key)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/cancel";
    addLegHeaders(request.headers, key);
    return request;
}

LegResponse parseRunResponse(const LegKey& key, HttpResponse response)
{
    LegResponse answer;
    answer.key = key;
    const auto reason = response.headers.find("X-Reason");
    answer.outcome = outcomeOf(response.status, reason);
    answer.draining = response.headers.find("X-Draining") == "1" || reason == "draining";
    forEachItem(response.headers.find("X-Index-Versions"), [&](std::string_view item) {
        if (const auto n = parseDigits(item))
            answer.versions.emplace_back(*n);
    });
    std::sort(answer.versions.begin(), answer.versions.end());
    if (const auto millis = parseDigits(response.headers.find("Retry-After-Ms")))
        answer.retryAfter = std::chrono::milliseconds(std::min<std::uint64_t>(*millis, maxRetryAfterMillis));
    if (answer.outcome != LegOutcome::Ok) {
        answer.detail = "status " + std::to_string(response.status) + (reason.empty() ? "" : ", " + std::string(reason));
        return answer;
    }
    readResult(response, answer);
    return answer;
}

std::optional<HealthReport> parseHealthResponse(const HttpResponse& response)
{
    json::error_code ec;
    const auto value = json::parse(response.body, ec);
    if (response.status != 200 || ec || !value.is_object())
        return std::nullopt;
    const auto& object = value.as_object();
    HealthReport report;
    if (const auto* busy = object.if_contains("busy"); busy && busy->is_int64())
        report.busySlots = static_cast<std::uint32_t>(std::max<std::int64_t>(0, busy->get_int64()));
    if (const auto* draining = object.if_contains("draining"); draining && draining->is_bool())
        report.draining = draining->get_bool();
    if (const auto* versions = object.if_contains("versions"); versions && versions->is_array()) {
        for (const auto& it : versions->get_array()) {
            if (it.is_int64())
                report.versions.emplace_back(static_cast<std::uint64_t>(it.get_int64()));
        }
    }
    std::sort(report.versions.begin(), report.versions.end());
    return report;
}

}
