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
    SnapshotChooser(const ShardMap&, const ServerTable&);

    /// The newest version that at least one usable replica of every one of these shards serves.
    /// Version 0 when no replica reports any version: the service has no snapshots. Empty when
    /// versions are reported but none is served everywhere.
    std::optional<IndexVersion> choose(const std::vector<const Shard*>&) const;
    /// True when the replica, as far as is known, serves that version now.
    bool serves(const ServerName&, IndexVersion) const;

private:
    const std::vector<IndexVersion>& versionsOf(const ServerName&) const;
    std::vector<IndexVersion> versionsOf(const Shard&) const;

    const ShardMap& m_map;
    const ServerTable& m_servers;
};

}
