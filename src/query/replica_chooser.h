#pragma once

#include "base/random_source.h"
#include "catalog/shard_map.h"
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
    ReplicaChooser(const QuerySettings&, const ZoneName& self, ServerTable&, RandomSource&);

    /// The replica for the next attempt of that leg. Replicas that no longer serve the pinned
    /// version are left out, and those that were tried too, unless it may be tried again.
    ReplicaChoice choose(const Query&, const LegState&, bool again);

private:
    std::vector<ReplicaChoice> candidatesOf(const Query&, const LegState&, bool again);
    double expectedMicros(const ReplicaChoice&, std::uint32_t slots) const;
    const ReplicaChoice& better(const ReplicaChoice&, const ReplicaChoice&);

    const QuerySettings& m_settings;
    const ZoneName m_self;
    ServerTable& m_servers;
    RandomSource& m_random;
};

}
