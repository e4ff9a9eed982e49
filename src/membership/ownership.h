#pragma once

#include "base/ids.h"
#include "catalog/shard_map.h"
#include "membership/view.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace lycheefield {

/// Servers of one service in one zone that are owned together.
struct Block {
    ServiceName service;
    ZoneName zone;
    std::uint32_t index = 0; ///< A service with many servers in a zone has several blocks there.

    friend bool operator==(const Block&, const Block&) = default;
    friend auto operator<=>(const Block&, const Block&) = default;
};

/// Who sends work to the servers of a block.
struct BlockOwners {
    InstanceName owner;
    InstanceName standby; ///< Empty when there is only one candidate.

    friend bool operator==(const BlockOwners&, const BlockOwners&) = default;
};

/// Servers in one block at most.
constexpr std::uint32_t maxServersPerBlock = 5;

/// Assigns each block an owner and a standby by rendezvous hashing over the live instances of the
/// block's zone, or over all when the zone has fewer than two. The same view and map give the
/// same owners on every instance. Immutable; share it through Snapshot<Ownership>.
class Ownership {
public:
    Ownership() = default;
    Ownership(const MembershipView&, const ShardMap&);
    /// Routing "direct": the instance owns every server, and so does each other one that the view does
    /// not know to be gone. Owns nothing while the view doesn't have the instance.
    static Ownership ofEverything(const InstanceName&, const MembershipView&, const ShardMap&);

    /// Null when the server is unknown or no instance can own it.
    const BlockOwners* ownersOf(const ServerName&) const;
    const std::map<ServerName, Block>& blocks() const { return m_blocks; }
    /// True when the instance owns the server or stands by for it.
    bool holds(const InstanceName&, const ServerName&) const;
    /// Instances that may have connections to one server at a time, by which its cap is divided.
    std::uint32_t holdersOfServer() const { return m_holdersOfServer; }

private:
    /// While an old and a new view are both in force: two owners, two standbys.
    static constexpr std::uint32_t holdersInTwoViews = 4;

    std::map<ServerName, Block> m_blocks;
    std::map<Block, BlockOwners> m_owners;
    std::uint32_t m_holdersOfServer = holdersInTwoViews;
};

}
