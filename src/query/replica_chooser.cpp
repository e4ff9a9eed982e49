#include "query/replica_chooser.h"

#include "query/snapshot_chooser.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// A replica is preferred for its speed only when it is faster by more than this factor.
constexpr double clearlyFaster = 1.25;

}

ReplicaChooser::ReplicaChooser(const QuerySettings& settings, const ZoneName& self, ServerTable& servers, RandomSource& random)
    : m_settings(settings)
    , m_self(self)
    , m_servers(servers)
    , m_random(random)
{
}

std::vector<ReplicaChoice> ReplicaChooser::candidatesOf(const Query& query, const LegState& leg, bool again)
{
    const SnapshotChooser snapshots(*query.tables.shards, m_servers);
    std::vector<ReplicaChoice> usable;
    std::vector<ReplicaChoice> avoided;
    for (const auto& name : leg.shard->replicas) {
        const auto* owners = query.tables.ownership->ownersOf(name);
        const auto* server = query.tables.shards->findServer(name);
        if (!owners || owners->owner.value().empty() || !server)
            continue;
        auto& record = m_servers.recordOf(name);
        if ((!again && leg.wasTriedAt(&record)) || !snapshots.serves(name, query.version))
            continue;
        const bool avoid = server->leaving || (record.state && (record.state->draining || record.state->ejected));
        (avoid ? avoided : usable).push_back({ &record, owners->owner, &server->zone });
    }
    return usable.empty() ? avoided : usable;
}

double ReplicaChooser::expectedMicros(const ReplicaChoice& choice, std::uint32_t slots) const
{
    const auto& record = *choice.server;
    const auto link = *choice.zone == m_self ? 0 : 2 * static_cast<double>(m_settings.crossZoneCost.count());
    const auto reported = record.state ? static_cast<double>(record.state->recentLatency.count()) : 0;
    const auto own = record.latencyMicros > 0 ? record.latencyMicros : reported + link;
    const auto serviceTime = reported > 0 ? reported : std::max(0.0, own - link);
    const auto ahead = static_cast<double>(record.load()) + 1 - slots;
    return own + std::max(0.0, ahead) / slots * serviceTime;
}

ReplicaChoice ReplicaChooser::choose(const Query& query, const LegState& leg, bool again)
{
    const auto candidates = candidatesOf(query, leg, again);
    if (candidates.empty())
        return {};
    if (candidates.size() == 1)
        return candidates[0];
    if (!m_settings.chooseByLoad)
        return candidates[(query.request.id.counter + leg.shard->number.value()) % candidates.size()];
    // Two at random, then the better of them: with many replicas, all entries taking the best would overload it.
    const auto n = candidates.size();
    const auto first = n == 2 ? 0 : m_random.below(n);
    const auto second = n == 2 ? 1 : (first + 1 + m_random.below(n - 1)) % n;
    return better(candidates[first], candidates[second]);
}

const ReplicaChoice& ReplicaChooser::better(const ReplicaChoice& a, const ReplicaChoice& b)
{
    const auto timeA = expectedMicros(a, a.server->slots());
    const auto timeB = expectedMicros(b, b.server->slots());
    if (timeA * clearlyFaster < timeB)
        return a;
    if (timeB * clearlyFaster < timeA)
        return b;
    if (a.server->load() != b.server->load())
        return a.server->load() < b.server->load() ? a : b;
    return m_random.below(2) == 0 ? a : b;
}

}
