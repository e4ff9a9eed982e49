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
    Search, ///< Asks every shard of a service; repeatable.
    Record, ///< Asks one shard; repeatable.
    Order, ///< Asks one shard and must run at most once.
};

/// Names one attempt of one leg. An answer whose key is not awaited is dropped and counted.
struct LegKey {
    RequestId request;
    LegNumber leg;
    AttemptNumber attempt;

    friend bool operator==(const LegKey&, const LegKey&) = default;
    friend auto operator<=>(const LegKey&, const LegKey&) = default;
};

/// One leg to run at one server.
struct LegOrder {
    LegNumber leg;
    AttemptNumber attempt;
    ShardNumber shard;
    ServerName server;
    bool isHedge = false;

    friend bool operator==(const LegOrder&, const LegOrder&) = default;
};

/// Everything a relay needs to run some legs of one request. One message carries all the legs
/// that one relay runs.
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

/// How one attempt of a leg ended.
enum class LegOutcome : std::uint8_t {
    Ok,
    Refused, ///< Not run: the server or the relay turned it away before it ran.
    Expired, ///< Not run: it could not be done before the deadline.
    Quarantined, ///< Not run: its content crashed servers lately.
    VersionGone, ///< Not run: the server no longer serves the pinned index version.
    ShardMoved, ///< Not run: the server's partition epoch is another.
    Cancelled, ///< Cancelled; it may have run in part.
    Failed, ///< It ran and the server reported a failure.
    Lost, ///< Bytes were handed to a connection that died, or to a relay that vanished; it may have run.
    NotHeld, ///< Not run: the relay does not hold the server, or could not be reached at all; another may.
};

std::string_view toString(LegOutcome);

/// True when the outcome proves that no part of the request ran.
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

/// What the owning relay knows of a server, sent along with each answer from it.
struct ServerState {
    ServerName server;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::vector<IndexVersion> versions; ///< Ascending.
    bool draining = false;
    bool ejected = false;
    Duration recentLatency {}; ///< Moving average of the time a leg spends at the server.
    PriorityCounts queuedBy {}; ///< Of queued: how many at each priority.

    /// Legs that a new one of this priority finds before it.
    std::uint32_t ahead(Priority priority) const { return inFlight + queuedBy.upTo(priority); }

    friend bool operator==(const ServerState&, const ServerState&) = default;
};

/// The end of one attempt, as the entry receives it.
struct LegResult {
    LegKey key;
    ShardNumber shard;
    LegOutcome outcome = LegOutcome::Lost;
    IndexVersion version;
    PartitionEpoch epoch;
    std::vector<BatchId> batches; ///< The batches that the answer covers.
    std::string body;
    ServerState state;
    Duration queueTime {}; ///< Waiting at the relay for a slot.
    Duration serviceTime {}; ///< From the first byte sent to the server to the whole answer.
    bool crashed = false; ///< The connection died while the leg ran.
    Duration retryAfter {}; ///< Zero when the server gave none.
    std::string detail; ///< For traces and operators.

    friend bool operator==(const LegResult&, const LegResult&) = default;
};

/// The end of a leg whose relay is the wrong one or could not be reached: no server was asked.
LegResult notHeldResult(const WorkOrder&, const LegOrder&, std::string detail);

}
