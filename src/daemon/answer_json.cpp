#include "daemon/answer_json.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>

#include <algorithm>

namespace lycheefield {

namespace {

void appendMember(std::string& out, std::string_view name, std::string_view value)
{
    out.append("\"").append(name).append("\":").append(value);
}

void appendMissingBatches(const Answer& answer, std::string& out)
{
    bool isFirst = answer.missing.empty();
    for (const auto& it : answer.covered) {
        if (it.missingBatches.empty())
            continue;
        std::string reason = "batches not covered:";
        for (const auto& batch : it.missingBatches)
            reason += " " + batch.value();
        out.append(isFirst ? "{" : ",{");
        isFirst = false;
        appendMember(out, "shard", std::to_string(it.shard.value()));
        out += ",";
        appendMember(out, "reason", quoteJson(reason));
        out += "}";
    }
}

void appendCoverage(const Answer& answer, std::string& out)
{
    out += "\"coverage\":{";
    appendMember(out, "complete", answer.isComplete() ? "true" : "false");
    out += ",\"covered\":[";
    for (std::size_t i = 0; i < answer.covered.size(); ++i)
        out.append(i ? "," : "").append(std::to_string(answer.covered[i].shard.value()));
    out += "],";
    appendMember(out, "total", std::to_string(answer.covered.size() + answer.missing.size()));
    out += ",\"batches\":[";
    bool isFirst = true;
    for (const auto& it : answer.covered) {
        for (const auto& batch : it.batches) {
            out.append(isFirst ? "" : ",").append(quoteJson(batch.value()));
            isFirst = false;
        }
    }
    out += "],\"missing\":[";
    for (std::size_t i = 0; i < answer.missing.size(); ++i) {
        out.append(i ? ",{" : "{");
        appendMember(out, "shard", std::to_string(answer.missing[i].shard.value()));
        out += ",";
        appendMember(out, "reason", quoteJson(answer.missing[i].reason));
        out += "}";
    }
    appendMissingBatches(answer, out);
    out += "]}";
}

void appendResults(const Answer& answer, std::string& out)
{
    out += "\"results\":[";
    for (std::size_t i = 0; i < answer.covered.size(); ++i) {
        out.append(i ? ",{" : "{");
        appendMember(out, "shard", std::to_string(answer.covered[i].shard.value()));
        out += ",";
        appendMember(out, "result", answer.covered[i].body.empty() ? "null" : std::string_view(answer.covered[i].body));
        out += "}";
    }
    out += "]";
}

void appendError(const Error& error, std::string& out)
{
    out += "\"error\":{";
    appendMember(out, "kind", quoteJson(toString(error.kind)));
    out += ",";
    appendMember(out, "message", quoteJson(error.message));
    out += ",";
    appendMember(out, "remedy", quoteJson(error.remedy));
    out += "}";
}

std::string retryAfterSeconds(Duration retryAfter)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    return std::to_string(std::max<std::int64_t>(1, seconds.count()));
}

}

std::string quoteJson(std::string_view text)
{
    return boost::json::serialize(boost::json::string_view(text.data(), text.size()));
}

std::string formatAnswer(const Answer& answer)
{
    std::size_t bytes = 512;
    for (const auto& it : answer.covered)
        bytes += it.body.size() + 64;
    std::string out;
    out.reserve(bytes);
    out += "{";
    appendMember(out, "request", quoteJson(answer.request.toString()));
    out += ",";
    appendMember(out, "run", quoteJson(toString(answer.runState)));
    out += ",";
    appendMember(out, "snapshot", std::to_string(answer.version.value()));
    out += ",";
    appendMember(out, "epoch", std::to_string(answer.epoch.value()));
    out += ",";
    appendCoverage(answer, out);
    out += ",";
    if (answer.refusal)
        appendError(*answer.refusal, out);
    else
        appendResults(answer, out);
    out += "}";
    return out;
}

unsigned statusOf(const Error& error, RunState runState)
{
    switch (error.kind) {
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::Quarantined:
        return 422;
    case ErrorKind::RateLimited:
        return 429;
    case ErrorKind::UnknownOutcome:
    case ErrorKind::IncompleteCoverage:
        return 502;
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
        return runState == RunState::Unknown ? 502 : 503;
    case ErrorKind::DeadlineExceeded:
        return 504;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

HttpResponse toHttpResponse(const Answer& answer)
{
    HttpResponse response;
    if (answer.refusal)
        response.status = statusOf(*answer.refusal, answer.runState);
    else
        response.status = answer.isComplete() ? 200 : 206;
    response.body = formatAnswer(answer);
    response.headers.add("X-Request-Id", answer.request.toString());
    if (answer.retryAfter > Duration {})
        response.headers.add("Retry-After", retryAfterSeconds(answer.retryAfter));
    return response;
}

HttpResponse refusalResponse(unsigned status, const RequestId& id, const Error& error, Duration retryAfter)
{
    Answer answer;
    answer.request = id;
    answer.runState = RunState::NotRun;
    answer.refusal = error;
    answer.retryAfter = retryAfter;
    auto response = toHttpResponse(answer);
    response.status = status;
    return response;
}

}
