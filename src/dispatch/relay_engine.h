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

/// The server's response to one leg, as read by the HTTP session.
struct LegResponse {
    LegKey key;
    LegOutcome outcome = LegOutcome::Failed;
    IndexVersion version;
    PartitionEpoch epoch;
    std::vector<BatchId> batches;
    std::string body;
    std::vector<IndexVersion> versions; ///< All versions that the server now serves; empty when the response did not list them.
    bool draining = false; ///< The response carried the drain mark.
    Duration retryAfter {};
    std::string detail;
};

/// The server's own report on its health. Reports lag behind and may be wrong, so a report alone takes
/// no more servers out of use than ejection may.
struct HealthReport {
    std::uint32_t busySlots = 0;
    bool draining = false;
    std::vector<IndexVersion> versions;
};

struct RelayCounters {
    std::uint64_t legs = 0; ///< Legs received, without duplicates.
    std::uint64_t sent = 0; ///< Legs sent to a server.
    std::uint64_t refused = 0;
    std::uint64_t expired = 0; ///< Refused because the deadline had passed or could not be met.
    std::uint64_t cancelledInQueue = 0;
    std::uint64_t cancelledAtServer = 0;
    std::uint64_t crashes = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t ejections = 0;
    std::uint64_t wasted = 0; ///< Responses of servers that came too late or after a cancellation.
    std::uint64_t connectionsOpened = 0;

    /// Adds each counter: the counters of an instance are the sums over its engines.
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

/// The decisions of the relay role: connections and slots of its servers, queueing, admission,
/// ejection, draining and quarantine.
///
/// The engine does no I/O. Every call takes the time and appends the actions that the caller must
/// execute. Not thread safe: an instance runs several engines, each on its own strand, and each server
/// belongs to one of them.
class RelayEngine {
public:
    virtual ~RelayEngine() = default;

    /// Applies new tables: servers may be added, be removed, change owner or be marked as leaving.
    virtual void onTables(std::shared_ptr<const ShardMap>, std::shared_ptr<const Ownership>, TimePoint, RelayActions&) = 0;
    /// Takes an order. Each leg ends in exactly one ReturnResult, unless its entry disconnects.
    virtual void onWork(const WorkOrder&, TimePoint, RelayActions&) = 0;
    virtual void onCancel(const LegKey&, TimePoint, RelayActions&) = 0;
    /// Cancels the legs of an entry whose connection broke, and drops their results.
    virtual void onEntryDisconnected(const InstanceName&, TimePoint, RelayActions&) = 0;

    virtual void onConnected(const ServerName&, ConnectionId, TimePoint, RelayActions&) = 0;
    /// Records that a connection could not be opened, or was closed. With a leg in flight, bytesWritten
    /// tells whether any byte of the leg was written to the connection.
    virtual void onConnectionLost(const ServerName&, ConnectionId, bool bytesWritten, TimePoint, RelayActions&) = 0;
    /// Records that this process had no descriptor, port or memory to open a connection. It says nothing about the server.
    virtual void onConnectionNotOpened(const ServerName&, ConnectionId, TimePoint, RelayActions&) = 0;
    virtual void onLegResponse(const ServerName&, ConnectionId, const LegResponse&, TimePoint, RelayActions&) = 0;
    virtual void onHealth(const ServerName&, const HealthReport&, TimePoint, RelayActions&) = 0;
    /// Applies another relay's announcement about content that was running when a server crashed.
    virtual void onCrashAnnounced(const AnnounceCrash&, TimePoint) = 0;
    /// Applies another relay's announcement about a server that this relay holds or may hold later.
    virtual void onServerAnnounced(const ServerState&, TimePoint, RelayActions&) { }
    /// Refuses new legs from now on; legs already taken are finished.
    virtual void beginDrain(TimePoint, RelayActions&) = 0;

    virtual void onTimer(TimePoint, RelayActions&) = 0;
    /// When onTimer() must run next; `never` when no timer is set.
    virtual TimePoint nextWake() const = 0;

    /// Number of legs queued or in flight at a server.
    virtual std::size_t inFlight() const = 0;
    virtual std::vector<ServerState> states() const = 0;
    virtual RelayCounters counters() const = 0;
};

std::unique_ptr<RelayEngine> makeRelayEngine(const RelaySettings&, const InstanceName& self, std::unique_ptr<RandomSource>);

}
