#pragma once

#include "base/time.h"
#include "base/units.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

/// Settings of the claim engine.
struct ClaimSettings {
    std::uint32_t partitions = 2; ///< Number of partitions over which keys are spread, each with one head object. Must be the same on every instance.
    Duration batchWindow = 7ms; ///< Minimum time between two writes to a partition; claims that arrive in between share the next write.
    Duration keyLifetime = 24h; ///< Minimum time for which a claimed key is remembered.
    std::uint32_t maxClaimsPerHead = 500; ///< A head with this many claims is sealed into a segment.
    ByteCount maxHead = kibibytes(256); ///< A head of this size is sealed, however few claims it holds.
    ByteCount maxKey { 256 }; ///< Longer idempotency keys are refused.
    ByteCount maxAnswer = kibibytes(2); ///< For a longer answer only the run state is recorded.
    std::uint32_t maxWaitingPerPartition = 10000; ///< Further claims are refused.
    std::uint32_t maxUnsettledPerPartition = 1000; ///< With this many unwritten releases and outcomes, new claims are refused.
    Duration outcomeDelay = 50ms; ///< Time that an outcome waits for claims to share a write with.
    Duration initialBackoff = 20ms; ///< Back-off after a failed call to the store; doubles up to maxBackoff.
    Duration maxBackoff = 500ms;

    friend bool operator==(const ClaimSettings&, const ClaimSettings&) = default;
};

}
