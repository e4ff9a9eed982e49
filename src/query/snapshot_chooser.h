#pragma once

#include "base/ids.h"
#include "catalog/shard_map.h"
#include "query/server_table.h"

#include <optional>
#include <vector>

namespace lycheefield {

/// Chooses the index version that a query is pinned to. Not thread safe: reads the server table.
class SnapshotChooser {
public:
    SnapshotChooser(const ShardMap&, const ServerTable&, TimePoint now);

    /// Returns the newest version that at least one usable replica of each of these shards serves.
    /// Returns version 0 when no replica reports a version, because the service has no snapshots. Empty when
    /// versions are reported but no version is served by all shards. Excluded versions are not considered.
    std::optional<IndexVersion> choose(const std::vector<const Shard*>&, const std::vector<IndexVersion>& excluded = {}) const;
    /// Returns true if, by the latest information, the replica serves that version.
    bool serves(const ServerName&, IndexVersion) const;

private:
    const std::vector<IndexVersion>& versionsOf(const ServerName&) const;
    std::vector<IndexVersion> versionsOf(const Shard&) const;

    const ShardMap& m_map;
    bool isLive(const ServerName&) const;

    const ServerTable& m_servers;
    const TimePoint m_now;
};

}
