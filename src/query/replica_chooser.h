#pragma once

#include "base/random_source.h"
#include "catalog/shard_map.h"
#include "query/crash_evidence.h"
#include "query/disconnected_relays.h"
#include "query/query.h"
#include "query/query_settings.h"
#include "query/server_table.h"

#include <cstdint>

namespace lycheefield {

/// The server, and the relay that owns it, for one attempt of a leg.
struct ReplicaChoice {
    ServerRecord* server = nullptr; ///< Null when no replica can take it.
    InstanceName relay;
    const ZoneName* zone = nullptr; ///< Of the server; points into the shard map.
};

/// Chooses the server of an attempt and the relay that owns the server. Not thread safe.
class ReplicaChooser {
public:
    ReplicaChooser(const QuerySettings&, const ZoneName& self, ServerTable&, const DisconnectedRelays&, const CrashEvidence&, RandomSource&);

    /// Returns the replica for the next attempt of the leg. Replicas that no longer serve the pinned
    /// version are excluded, and so are those that already had an attempt, unless mayRepeatServer.
    ReplicaChoice choose(const Query&, const LegState&, bool mayRepeatServer, TimePoint);
    /// Estimates the response time of a leg sent to that replica now, in microseconds.
    double expectedMicros(const ReplicaChoice&, Priority, TimePoint) const;
    /// Returns the shortest response time possible for a leg sent to that replica now; zero when its load is unknown.
    Duration minResponseTime(const ReplicaChoice&, Priority, TimePoint) const;
    /// Returns the share of the spare time before the deadline that a leg sent to that replica now would be queued;
    /// zero when the load of the replica is unknown, and at least 1 when the leg can't meet the deadline.
    double waitShare(const ReplicaChoice&, Priority, TimePoint deadline, TimePoint) const;
    /// Like waitShare, but counts only the queued legs of higher priorities.
    double higherPriorityWaitShare(const ReplicaChoice&, Priority, TimePoint deadline, TimePoint) const;
    /// Returns the replicas that can take the next attempt. Draining, leaving and ejected ones only when there is no other.
    std::vector<ReplicaChoice> candidatesOf(const Query&, const LegState&, bool mayRepeatServer, TimePoint);

private:
    /// Returns the relay through which a leg reaches the server, or null while none may be tried again yet.
    const InstanceName* relayOf(const BlockOwners&, const LegState&, const ServerRecord&, TimePoint) const;
    /// Returns the state that the relay reported for a server, or null when the report is too old.
    const ServerState* knownState(const ServerRecord&, TimePoint) const;
    /// Returns how many service times a new leg waits for a slot.
    static double serviceTimesAhead(const ServerRecord&, const ServerState&, Priority);
    /// Converts a number of service times into a share of the spare time before the deadline.
    double shareOfSpareTime(const ReplicaChoice&, const ServerState&, double serviceTimes, TimePoint deadline, TimePoint) const;
    const ReplicaChoice& better(const ReplicaChoice&, const ReplicaChoice&, Priority, TimePoint);

    const QuerySettings& m_settings;
    const ZoneName m_self;
    ServerTable& m_servers;
    const DisconnectedRelays& m_disconnectedRelays;
    const CrashEvidence& m_evidence;
    RandomSource& m_random;
};

}
