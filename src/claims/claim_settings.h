#pragma once

#include "base/time.h"
#include "base/units.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

struct ClaimSettings {
    std::uint32_t partitions = 2; ///< Head objects over which keys are spread. The same on every instance.
    Duration batchWindow = 7ms; ///< Shortest time between two writes to a partition; what comes meanwhile shares the next.
    Duration keyLifetime = 24h; ///< After this a key is forgotten.
    std::uint32_t maxClaimsPerHead = 500; ///< A fuller head is sealed into a segment.
    ByteCount maxHead = kibibytes(256); ///< A larger head is sealed, however few claims it holds.
    ByteCount maxKey { 256 }; ///< A longer idempotency key is refused.
    ByteCount maxAnswer = kibibytes(2); ///< Of a longer answer only the run state is recorded.
    std::uint32_t maxWaitingPerPartition = 10000; ///< More claims are refused.
    std::uint32_t maxUnsettledPerPartition = 1000; ///< With more unwritten releases and outcomes, claims are refused.
    Duration outcomeDelay = 50ms; ///< An outcome waits this long for claims to share a write with.
    Duration retryFirst = 20ms; ///< Pause after a failed call to the store; doubles up to retryMost.
    Duration retryMost = 500ms;

    friend bool operator==(const ClaimSettings&, const ClaimSettings&) = default;
};

}
