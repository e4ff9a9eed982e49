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

/// The results of one covered shard.
struct ShardAnswer {
    ShardNumber shard;
    std::vector<BatchId> batches;
    std::string body;
    std::vector<BatchId> missingBatches; ///< Batches that the catalog lists for the shard and that its server did not cover.
    friend bool operator==(const ShardAnswer&, const ShardAnswer&) = default;
};

/// The complete or partial answer to one request.
struct Answer {
    RequestId request;
    RunState runState = RunState::Unknown;
    IndexVersion version; ///< The snapshot that all entries of covered reflect.
    PartitionEpoch epoch;
    std::vector<ShardAnswer> covered; ///< Ascending by shard.
    std::vector<MissingShard> missing; ///< Ascending by shard. Together with covered, all shards of the service.
    std::optional<Error> refusal; ///< Set when the caller gets an error instead of results.
    Duration retryAfter {};

    bool isComplete() const
    {
        const auto isWhole = [](const ShardAnswer& it) { return it.missingBatches.empty(); };
        return !refusal && missing.empty() && std::all_of(covered.begin(), covered.end(), isWhole);
    }

    friend bool operator==(const Answer&, const Answer&) = default;
};

}
