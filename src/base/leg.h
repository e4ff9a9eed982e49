#pragma once

#include "base/ids.h"
#include "base/priority.h"
#include "base/priority_counts.h"
#include "base/request_id.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

enum class RequestKind : std::uint8_t {
    Search, ///< Sent to every shard of a service; idempotent.
    Record, ///< Sent to one shard; idempotent.
    Order, ///< Sent to one shard; must run at most once.
};

/// Identifies one attempt of one leg. A result whose key matches no pending attempt is dropped and counted.
struct LegKey {
    RequestId request;
    LegNumber leg;
    AttemptNumber attempt;

    friend bool operator==(const LegKey&, const LegKey&) = default;
    friend auto operator<=>(const LegKey&, const LegKey&) = default;
};

/// One attempt of a leg and the server that is to run the attempt.
struct LegOrder {
    LegNumber leg;
    AttemptNumber attempt;
    ShardNumber shard;
    ServerName server;
    bool isHedge = false;

    friend bool operator==(const LegOrder&, const LegOrder&) = default;
};

/// Everything that a relay needs to run its legs of one request. A single message carries all legs
/// of the request for that relay.
struct WorkOrder {
    RequestId request;
    InstanceName entry;
    ServiceName service;
    RequestKind kind = RequestKind::Search;
    Priority priority = Priority::Desk;
    TimePoint deadline = never;
    IndexVersion version;
    PartitionEpoch epoch;
    Fingerprint fingerprint;
    std::shared_ptr<const std::string> body;
    std::string traceparent;
    std::vector<LegOrder> legs;
};

/// Outcome of one attempt of a leg.
enum class LegOutcome : std::uint8_t {
    Ok,
    Refused, ///< Not run: the server or the relay rejected the leg before running it.
    Expired, ///< Not run: the leg could not finish before the deadline.
    Quarantined, ///< Not run: the content crashed servers recently.
    VersionGone, ///< Not run: the server no longer serves the pinned index version.
    ShardMoved, ///< Not run: the server's partition epoch differs.
    Cancelled, ///< The leg was cancelled and may have run in part.
    Failed, ///< The leg ran and the server reported a failure.
    Lost, ///< The connection or the relay failed after at least a part of the leg was sent; the leg may have run.
    NotHeld, ///< Not run: the relay does not own the server, or was unreachable; another relay may run the leg.
};

std::string_view toString(LegOutcome);

/// Whether the outcome proves that no part of the request ran.
constexpr bool provesNotRun(LegOutcome outcome)
{
    switch (outcome) {
    case LegOutcome::Refused:
    case LegOutcome::Expired:
    case LegOutcome::Quarantined:
    case LegOutcome::VersionGone:
    case LegOutcome::ShardMoved:
    case LegOutcome::NotHeld:
        return true;
    case LegOutcome::Ok:
    case LegOutcome::Cancelled:
    case LegOutcome::Failed:
    case LegOutcome::Lost:
        return false;
    }
    return false;
}

/// State of a server in the view of its owning relay; sent with each result from the server.
struct ServerState {
    ServerName server;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::vector<IndexVersion> versions; ///< Ascending.
    bool draining = false;
    bool ejected = false;
    Duration recentLatency {}; ///< Moving average of the time that a leg spends at the server.
    PriorityCounts queuedBy {}; ///< The `queued` legs by priority.

    /// Number of legs that run before a new leg of this priority.
    std::uint32_t ahead(Priority priority) const { return inFlight + queuedBy.upTo(priority); }

    friend bool operator==(const ServerState&, const ServerState&) = default;
};

/// Result of one attempt, as the entry receives the result.
struct LegResult {
    LegKey key;
    ShardNumber shard;
    LegOutcome outcome = LegOutcome::Lost;
    IndexVersion version;
    PartitionEpoch epoch;
    std::vector<BatchId> batches; ///< Batches that the body covers.
    std::string body;
    ServerState state;
    Duration queueTime {}; ///< Time in the relay's queue before a slot was free.
    Duration serviceTime {}; ///< From the first byte sent to the server to the last byte of the response.
    bool crashed = false; ///< The connection failed while the leg ran.
    Duration retryAfter {}; ///< Zero when the server gave none.
    std::string detail; ///< For traces and operators.

    friend bool operator==(const LegResult&, const LegResult&) = default;
};

/// Result of a leg that was sent to no server, because its relay does not own the server or was unreachable.
LegResult notHeldResult(const WorkOrder&, const LegOrder&, std::string detail);

}
