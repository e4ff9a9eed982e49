#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/leg.h"
#include "base/run_state.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace lycheefield {

struct MissingShard {
    ShardNumber shard;
    std::string reason;
    friend bool operator==(const MissingShard&, const MissingShard&) = default;
};

/// What one covered shard contributed.
struct ShardAnswer {
    ShardNumber shard;
    std::vector<BatchId> batches;
    std::string body;
    std::vector<BatchId> missingBatches; ///< Batches of the shard, by the catalog, that it does not cover.
    friend bool operator==(const ShardAnswer&, const ShardAnswer&) = default;
};

/// The whole answer to one request.
struct Answer {
    RequestId request;
    RunState runState = RunState::Unknown;
    IndexVersion version; ///< The one snapshot that all of covered reflects.
    PartitionEpoch epoch;
    std::vector<ShardAnswer> covered; ///< Ascending by shard.
    std::vector<MissingShard> missing; ///< Ascending by shard; with covered, every shard of the service.
    std::optional<Error> refusal; ///< Set when the caller gets no result.
    Duration retryAfter {};

    bool isComplete() const
    {
        const auto isWhole = [](const ShardAnswer& it) { return it.missingBatches.empty(); };
        return !refusal && missing.empty() && std::all_of(covered.begin(), covered.end(), isWhole);
    }

    friend bool operator==(const Answer&, const Answer&) = default;
};

}
