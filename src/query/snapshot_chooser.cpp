#include "query/snapshot_chooser.h"

#include <algorithm>
#include <iterator>

namespace lycheefield {

namespace {

const std::vector<IndexVersion> noVersions;

}

SnapshotChooser::SnapshotChooser(const ShardMap& map, const ServerTable& servers)
    : m_map(map)
    , m_servers(servers)
{
}

const std::vector<IndexVersion>& SnapshotChooser::versionsOf(const ServerName& name) const
{
    const auto* record = m_servers.find(name);
    if (record && record->state && !record->state->versions.empty())
        return record->state->versions;
    const auto* server = m_map.findServer(name);
    return server ? server->versions : noVersions;
}

std::vector<IndexVersion> SnapshotChooser::versionsOf(const Shard& shard) const
{
    std::vector<IndexVersion> versions;
    for (const auto& it : shard.replicas) {
        const auto& served = versionsOf(it);
        std::vector<IndexVersion> merged;
        std::set_union(versions.begin(), versions.end(), served.begin(), served.end(), std::back_inserter(merged));
        versions = std::move(merged);
    }
    return versions;
}

std::optional<IndexVersion> SnapshotChooser::choose(const std::vector<const Shard*>& shards) const
{
    std::vector<IndexVersion> common;
    bool first = true;
    bool reported = false;
    for (const auto* shard : shards) {
        const auto versions = versionsOf(*shard);
        reported = reported || !versions.empty();
        if (first) {
            common = versions;
            first = false;
            continue;
        }
        std::vector<IndexVersion> both;
        std::set_intersection(common.begin(), common.end(), versions.begin(), versions.end(), std::back_inserter(both));
        common = std::move(both);
    }
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
