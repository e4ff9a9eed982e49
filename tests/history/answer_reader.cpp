#include "history/answer_reader.h"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace lycheefield::history {

namespace json = boost::json;

namespace {

RunState runStateOf(const std::string& text)
{
    for (const auto it : { RunState::Ran, RunState::NotRun, RunState::Unknown }) {
        if (text == toString(it))
            return it;
    }
    throw std::runtime_error("unknown run state: " + text);
}

Error readError(const json::object& from)
{
    Error error;
    const std::string kind(from.at("kind").as_string());
    for (const auto it : { ErrorKind::InvalidInput, ErrorKind::Conflict, ErrorKind::Unavailable, ErrorKind::UnknownOutcome, ErrorKind::RateLimited, ErrorKind::NotFound,
             ErrorKind::DeadlineExceeded, ErrorKind::Overloaded, ErrorKind::Quarantined, ErrorKind::IncompleteCoverage }) {
        if (kind == toString(it))
            error.kind = it;
    }
    error.message = from.at("message").as_string();
    return error;
}

std::string echoOf(const json::value& result)
{
    const auto* content = result.if_object();
    const auto* echo = content ? content->if_contains("echo") : nullptr;
    return echo && echo->is_string() ? std::string(echo->as_string()) : json::serialize(result);
}

ShardNumber shardOf(const json::value& number)
{
    return ShardNumber(number.to_number<std::uint32_t>());
}

void readMissing(const json::array& from, Answer& answer)
{
    for (const auto& it : from) {
        const MissingShard missing { shardOf(it.at("shard")), std::string(it.at("reason").as_string()) };
        // The list of missing shards includes a covered shard when some of its batches are not covered.
        const auto isCovered = std::any_of(answer.covered.begin(), answer.covered.end(), [&](const auto& covered) { return covered.shard == missing.shard; });
        if (!isCovered)
            answer.missing.push_back(missing);
    }
}

}

Answer readAnswer(std::string_view body)
{
    const auto root = json::parse(json::string_view(body.data(), body.size()));
    Answer answer;
    answer.request = RequestId::parse(std::string(root.at("request").as_string())).value();
    answer.runState = runStateOf(std::string(root.at("run").as_string()));
    answer.version = IndexVersion(root.at("snapshot").to_number<std::uint64_t>());
    answer.epoch = PartitionEpoch(root.at("epoch").to_number<std::uint64_t>());
    if (const auto* error = root.as_object().if_contains("error")) {
        answer.refusal = readError(error->as_object());
        return answer;
    }
    for (const auto& it : root.at("results").as_array())
        answer.covered.push_back({ shardOf(it.at("shard")), {}, echoOf(it.at("result")), {} });
    const auto& coverage = root.at("coverage");
    if (!answer.covered.empty()) {
        for (const auto& it : coverage.at("batches").as_array())
            answer.covered.front().batches.emplace_back(std::string(it.as_string()));
    }
    readMissing(coverage.at("missing").as_array(), answer);
    return answer;
}

}
