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
};

/// Picks the server of an attempt, and the relay that owns it. Not thread safe.
class ReplicaChooser {
public:
    ReplicaChooser(const QuerySettings&, const ZoneName& self, ServerTable&, RandomSource&);

    /// The replica for the next attempt of that leg. Replicas that were tried or that no longer
    /// serve the pinned version are left out.
    ReplicaChoice choose(const Query&, const LegState&, TimePoint);

private:
    std::vector<ReplicaChoice> candidatesOf(const Query&, const LegState&);

    const QuerySettings& m_settings;
    const ZoneName m_self;
    ServerTable& m_servers;
    RandomSource& m_random;
    std::uint64_t m_turn = 0;
};

}
