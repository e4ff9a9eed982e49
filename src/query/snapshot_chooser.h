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

    /// The newest version that at least one usable replica of every one of these shards serves.
    /// Version 0 when no replica reports any version: the service has no snapshots. Empty when
    /// versions are reported but none is served everywhere. Versions that were found gone are left out.
    std::optional<IndexVersion> choose(const std::vector<const Shard*>&, const std::vector<IndexVersion>& excluded = {}) const;
    /// True when the replica, as far as is known, serves that version now.
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
