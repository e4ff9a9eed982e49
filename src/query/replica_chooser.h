#pragma once

#include "base/random_source.h"
#include "catalog/shard_map.h"
#include "query/crash_evidence.h"
#include "query/lost_relays.h"
#include "query/query.h"
#include "query/query_settings.h"
#include "query/server_table.h"

#include <cstdint>

namespace lycheefield {

/// Where an attempt of a leg goes.
struct ReplicaChoice {
    ServerRecord* server = nullptr; ///< Null when no replica can take it.
    InstanceName relay;
    const ZoneName* zone = nullptr; ///< Of the server; points into the shard map.
};

/// Picks the server of an attempt, and the relay that owns it. Not thread safe.
class ReplicaChooser {
public:
    ReplicaChooser(const QuerySettings&, const ZoneName& self, ServerTable&, const LostRelays&, const CrashEvidence&, RandomSource&);

    /// The replica for the next attempt of that leg. Replicas that no longer serve the pinned
    /// version are left out, and those that were tried too, unless it may be tried again.
    ReplicaChoice choose(const Query&, const LegState&, bool mayRepeatServer, TimePoint);
    /// How long a leg sent to that replica now would take, in microseconds, as far as is known.
    double expectedMicros(const ReplicaChoice&, Priority, TimePoint) const;
    /// The earliest that a leg sent to that replica now may be answered; zero when its load is not known.
    Duration minResponseTime(const ReplicaChoice&, Priority, TimePoint) const;
    /// The part of the time to spare before the deadline that a leg sent to that replica now would wait; zero when
    /// its load is not known, and at least 1 when it can't be done in time.
    double waitShare(const ReplicaChoice&, Priority, TimePoint deadline, TimePoint) const;
    /// The same for the legs of higher priorities that wait there.
    double higherPriorityWaitShare(const ReplicaChoice&, Priority, TimePoint deadline, TimePoint) const;
    /// Replicas that can take the next attempt; those to be avoided only when there is no other.
    std::vector<ReplicaChoice> candidatesOf(const Query&, const LegState&, bool mayRepeatServer, TimePoint);

private:
    /// The relay that a leg to the server goes through, or null when it is too early to ask any.
    const InstanceName* relayOf(const BlockOwners&, const LegState&, const ServerRecord&, TimePoint) const;
    /// The load of a server as its relay told it, when that is not too old.
    const ServerState* knownState(const ServerRecord&, TimePoint) const;
    /// Turns of a leg's length that a new leg waits for a slot.
    static double serviceTimesAhead(const ServerRecord&, const ServerState&, Priority);
    /// So many service times as a share of the time to spare before the deadline.
    double shareOfSpareTime(const ReplicaChoice&, const ServerState&, double serviceTimes, TimePoint deadline, TimePoint) const;
    const ReplicaChoice& better(const ReplicaChoice&, const ReplicaChoice&, Priority, TimePoint);

    const QuerySettings& m_settings;
    const ZoneName m_self;
    ServerTable& m_servers;
    const LostRelays& m_lostRelays;
    const CrashEvidence& m_evidence;
    RandomSource& m_random;
};

}
