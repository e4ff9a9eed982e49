#include "query/snapshot_chooser.h"

#include <algorithm>
#include <iterator>

namespace lycheefield {

namespace {

const std::vector<IndexVersion> noVersions;

/// An older report of a relay may be outdated compared with the shard map.
constexpr Duration maxStateAge = std::chrono::seconds(5);

}

SnapshotChooser::SnapshotChooser(const ShardMap& map, const ServerTable& servers, TimePoint now)
    : m_map(map)
    , m_servers(servers)
    , m_now(now)
{
}

const std::vector<IndexVersion>& SnapshotChooser::versionsOf(const ServerName& name) const
{
    const auto* record = m_servers.find(name);
    if (record && record->state && !record->state->versions.empty() && m_now - record->stateAt < maxStateAge)
        return record->state->versions;
    const auto* server = m_map.findServer(name);
    return server ? server->versions : noVersions;
}

bool SnapshotChooser::isLive(const ServerName& name) const
{
    const auto* record = m_servers.find(name);
    return !record || !record->state || m_now - record->stateAt >= maxStateAge || !(record->state->ejected || record->state->draining);
}

std::vector<IndexVersion> SnapshotChooser::versionsOf(const Shard& shard) const
{
    const bool anyLive = std::any_of(shard.replicas.begin(), shard.replicas.end(), [&](const auto& it) { return isLive(it); });
    std::vector<IndexVersion> versions;
    for (const auto& it : shard.replicas) {
        if (anyLive && !isLive(it))
            continue;
        const auto& served = versionsOf(it);
        if (versions == served)
            continue;
        std::vector<IndexVersion> merged;
        std::set_union(versions.begin(), versions.end(), served.begin(), served.end(), std::back_inserter(merged));
        versions = std::move(merged);
    }
    return versions;
}

std::optional<IndexVersion> SnapshotChooser::choose(const std::vector<const Shard*>& shards, const std::vector<IndexVersion>& excluded) const
{
    std::vector<IndexVersion> common;
    bool first = true;
    bool reported = false;
    for (const auto* shard : shards) {
        auto versions = versionsOf(*shard);
        reported = reported || !versions.empty();
        if (first) {
            common = std::move(versions);
            first = false;
            continue;
        }
        if (common == versions)
            continue;
        std::vector<IndexVersion> both;
        std::set_intersection(common.begin(), common.end(), versions.begin(), versions.end(), std::back_inserter(both));
        common = std::move(both);
    }
    std::erase_if(common, [&](IndexVersion it) { return std::find(excluded.begin(), excluded.end(), it) != excluded.end(); });
    if (!common.empty())
        return common.back();
    if (!reported)
        return IndexVersion(0);
    return std::nullopt;
}

bool SnapshotChooser::serves(const ServerName& name, IndexVersion version) const
{
    const auto& versions = versionsOf(name);
    return versions.empty() || std::binary_search(versions.begin(), versions.end(), version);
}

}
