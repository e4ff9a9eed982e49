#include "query/replica_chooser.h"

#include "query/snapshot_chooser.h"

#include <algorithm>

namespace lycheefield {

ReplicaChooser::ReplicaChooser(const QuerySettings& settings, const ZoneName& self, ServerTable& servers, RandomSource& random)
    : m_settings(settings)
    , m_self(self)
    , m_servers(servers)
    , m_random(random)
{
}

std::vector<ReplicaChoice> ReplicaChooser::candidatesOf(const Query& query, const LegState& leg)
{
    const SnapshotChooser snapshots(*query.tables.shards, m_servers);
    std::vector<ReplicaChoice> usable;
    std::vector<ReplicaChoice> draining;
    for (const auto& name : leg.shard->replicas) {
        const auto* owners = query.tables.ownership->ownersOf(name);
        const auto* server = query.tables.shards->findServer(name);
        if (!owners || owners->owner.value().empty() || !server)
            continue;
        auto& record = m_servers.recordOf(name);
        if (leg.wasTriedAt(&record) || !snapshots.serves(name, query.version))
            continue;
        const bool avoid = server->leaving || (record.state && (record.state->draining || record.state->ejected));
        (avoid ? draining : usable).push_back({ &record, owners->owner });
    }
    return usable.empty() ? draining : usable;
}

ReplicaChoice ReplicaChooser::choose(const Query& query, const LegState& leg, TimePoint)
{
    const auto candidates = candidatesOf(query, leg);
    if (candidates.empty())
        return {};
    return candidates[m_turn++ % candidates.size()];
}

}
