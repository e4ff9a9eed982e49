#pragma once

#include "base/leg.h"
#include "base/random_source.h"
#include "catalog/shard_map.h"
#include "dispatch/relay_action.h"
#include "dispatch/relay_settings.h"
#include "membership/ownership.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheefield {

/// What a server said to one leg, as the HTTP session read it.
struct ServerAnswer {
    LegKey key;
    LegOutcome outcome = LegOutcome::Failed;
    IndexVersion version;
    PartitionEpoch epoch;
    std::vector<BatchId> batches;
    std::string body;
    std::vector<IndexVersion> versions; ///< All that the server serves now; empty when it did not say.
    bool draining = false; ///< The answer carried the drain mark.
    Duration retryAfter {};
    std::string detail;
};

/// The server's own report. It lags and may mislead: never the only ground for a decision.
struct HealthReport {
    std::uint32_t busySlots = 0;
    bool draining = false;
    std::vector<IndexVersion> versions;
};

struct RelayCounters {
    std::uint64_t legs = 0; ///< Orders taken.
    std::uint64_t sent = 0; ///< Legs handed to a server.
    std::uint64_t refused = 0;
    std::uint64_t expired = 0; ///< Refused because the deadline could not be kept.
    std::uint64_t cancelledInQueue = 0;
    std::uint64_t cancelledAtServer = 0;
    std::uint64_t crashes = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t ejections = 0;
    std::uint64_t wasted = 0; ///< Answers of servers that nobody waited for any more.
    std::uint64_t connectionsOpened = 0;

    /// Adds each counter: those of an instance are the sums over its engines.
    RelayCounters& operator+=(const RelayCounters& other)
    {
        legs += other.legs;
        sent += other.sent;
        refused += other.refused;
        expired += other.expired;
        cancelledInQueue += other.cancelledInQueue;
        cancelledAtServer += other.cancelledAtServer;
        crashes += other.crashes;
        quarantined += other.quarantined;
        ejections += other.ejections;
        wasted += other.wasted;
        connectionsOpened += other.connectionsOpened;
        return *this;
    }
    friend bool operator==(const RelayCounters&, const RelayCounters&) = default;
};

/// The decisions of the relay role: owns the connections and slots of its servers, queues,
/// admits, ejects, drains, quarantines.
///
/// It does no I/O. Every call takes the time and appends to the actions that the caller must
/// carry out. Not thread safe: an instance runs several engines, each on its own strand, and
/// each server belongs to one of them.
class RelayEngine {
public:
    virtual ~RelayEngine() = default;

    /// New tables: servers that come, go, change owner or leave.
    virtual void onTables(std::shared_ptr<const ShardMap>, std::shared_ptr<const Ownership>, TimePoint, RelayActions&) = 0;
    /// Takes an order. Each leg ends in exactly one ReturnResult, unless the entry is lost.
    virtual void onWork(const WorkOrder&, TimePoint, RelayActions&) = 0;
    virtual void onCancel(const LegKey&, TimePoint, RelayActions&) = 0;
    /// The entry's connection broke: its legs are cancelled and their results dropped.
    virtual void onEntryLost(const InstanceName&, TimePoint, RelayActions&) = 0;

    virtual void onConnected(const ServerName&, ConnectionId, TimePoint, RelayActions&) = 0;
    /// A connection could not be opened, or closed. With a leg in flight, bytesHanded tells whether
    /// any byte of it was handed to the connection.
    virtual void onConnectionLost(const ServerName&, ConnectionId, bool bytesHanded, TimePoint, RelayActions&) = 0;
    virtual void onServerAnswer(const ServerName&, ConnectionId, const ServerAnswer&, TimePoint, RelayActions&) = 0;
    virtual void onHealth(const ServerName&, const HealthReport&, TimePoint, RelayActions&) = 0;
    /// Another relay's news about content that crashed a server.
    virtual void onCrashNews(const AnnounceCrash&, TimePoint) = 0;
    /// What another relay announced about a server, whether this one holds it or may do so later.
    virtual void onServerNews(const ServerState&, TimePoint, RelayActions&) { }
    /// No new legs are taken from now on; those taken are finished.
    virtual void beginDrain(TimePoint, RelayActions&) = 0;

    virtual void onTimer(TimePoint, RelayActions&) = 0;
    /// When onTimer must run next; `never` when nothing waits.
    virtual TimePoint nextWake() const = 0;

    /// Legs queued or at a server.
    virtual std::size_t inFlight() const = 0;
    virtual std::vector<ServerState> states() const = 0;
    virtual RelayCounters counters() const = 0;
};

std::unique_ptr<RelayEngine> makeRelayEngine(const RelaySettings&, const InstanceName& self, std::unique_ptr<RandomSource>);

}
