#include "load/answer_check.h"

#include <boost/json.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace lycheefield {

namespace {

namespace json = boost::json;

constexpr unsigned statusOk = 200;
constexpr unsigned statusPartial = 206;

CheckedAnswer wrong(std::string reason)
{
    return { LoadOutcome::Wrong, std::move(reason) };
}

std::set<std::uint64_t> shardNumbers(const json::array& values)
{
    std::set<std::uint64_t> numbers;
    for (const auto& it : values)
        numbers.insert(it.to_number<std::uint64_t>());
    return numbers;
}

std::string errorIn(const json::object& result, std::uint64_t snapshot, std::string_view requestBody)
{
    const auto& content = result.at("result").as_object();
    if (content.at("version").to_number<std::uint64_t>() != snapshot)
        return "a result of another snapshot";
    if (std::string_view(content.at("echo").as_string()) != requestBody)
        return "a result of another request";
    return {};
}

/// The shards that an answer lists as missing.
struct MissingShards {
    std::set<std::uint64_t> wholly; ///< Without a result.
    std::set<std::uint64_t> partly; ///< With a result that lacks batches.
    bool isUnique = true; ///< Whether each shard is listed once.

    std::size_t size() const { return wholly.size() + partly.size(); }
    friend bool operator==(const MissingShards&, const MissingShards&) = default;
};

/// The reason that an answer gives for a shard whose result lacks batches; the batches follow.
constexpr std::string_view batchesNotCovered = "batches not covered:";

MissingShards missingShardsOf(const json::array& entries)
{
    MissingShards missing;
    for (const auto& it : entries) {
        const auto shard = it.as_object().at("shard").to_number<std::uint64_t>();
        const std::string_view reason(it.as_object().at("reason").as_string());
        auto& group = reason.starts_with(batchesNotCovered) ? missing.partly : missing.wholly;
        missing.isUnique = group.insert(shard).second && missing.isUnique;
    }
    return missing;
}

/// Returns whether every shard either has a result or is listed as missing, and those that lack batches have a result.
bool isConsistent(const std::set<std::uint64_t>& withResult, const MissingShards& missing, std::uint64_t total)
{
    const auto hasResult = [&](std::uint64_t it) { return withResult.contains(it); };
    return missing.isUnique && withResult.size() + missing.wholly.size() == total && std::none_of(missing.wholly.begin(), missing.wholly.end(), hasResult)
        && std::all_of(missing.partly.begin(), missing.partly.end(), hasResult);
}

CheckedAnswer checkResults(const json::object& root, bool complete, std::string_view requestBody)
{
    const auto snapshot = root.at("snapshot").to_number<std::uint64_t>();
    const auto& coverage = root.at("coverage").as_object();
    std::set<std::uint64_t> withResult;
    for (const auto& it : root.at("results").as_array()) {
        const auto error = errorIn(it.as_object(), snapshot, requestBody);
        if (!error.empty())
            return wrong(error);
        withResult.insert(it.as_object().at("shard").to_number<std::uint64_t>());
    }
    if (withResult != shardNumbers(coverage.at("covered").as_array()))
        return wrong("coverage names other shards than the results");
    const auto total = coverage.at("total").to_number<std::uint64_t>();
    const auto missing = missingShardsOf(coverage.at("missing").as_array());
    if (!isConsistent(withResult, missing, total))
        return wrong("covered and missing shards are not all shards");
    if (complete != (missing.size() == 0) || complete != coverage.at("complete").as_bool())
        return wrong("the status and the coverage disagree");
    return { complete ? LoadOutcome::Complete : LoadOutcome::Partial, {} };
}

CheckedAnswer checkRefusal(const json::object& root)
{
    const std::string run(root.at("run").as_string());
    const std::string kind(root.at("error").as_object().at("kind").as_string());
    return { run == "not run" ? LoadOutcome::Refused : LoadOutcome::Unknown, kind };
}

}

std::string_view nameOf(LoadOutcome outcome)
{
    switch (outcome) {
    case LoadOutcome::Complete:
        return "complete";
    case LoadOutcome::Partial:
        return "partial";
    case LoadOutcome::Refused:
        return "refused";
    case LoadOutcome::Unknown:
        return "unknown";
    case LoadOutcome::Cut:
        return "cut";
    case LoadOutcome::NotSent:
        return "not-sent";
    case LoadOutcome::Wrong:
        return "wrong";
    }
    return "wrong";
}

CheckedAnswer checkAnswer(unsigned status, std::string_view answerBody, std::string_view requestBody)
{
    try {
        const auto value = json::parse(json::string_view(answerBody.data(), answerBody.size()));
        const auto& root = value.as_object();
        if (status == statusOk || status == statusPartial)
            return checkResults(root, status == statusOk, requestBody);
        return checkRefusal(root);
    } catch (const std::exception& e) {
        return wrong("status " + std::to_string(status) + " with a malformed body: " + e.what());
    }
}

}
