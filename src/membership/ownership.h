#pragma once

#include "base/ids.h"
#include "catalog/shard_map.h"
#include "membership/view.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace lycheefield {

/// Servers of one service in one zone that have the same owner and standby.
struct Block {
    ServiceName service;
    ZoneName zone;
    std::uint32_t index = 0; ///< Distinguishes the blocks of a service that has many servers in the zone.

    friend bool operator==(const Block&, const Block&) = default;
    friend auto operator<=>(const Block&, const Block&) = default;
};

/// Instances that send requests to the servers of a block.
struct BlockOwners {
    InstanceName owner;
    InstanceName standby; ///< Empty if there is only one candidate.

    friend bool operator==(const BlockOwners&, const BlockOwners&) = default;
};

constexpr std::uint32_t maxServersPerBlock = 5;

/// Assigns each block an owner and a standby by rendezvous hashing over the alive and suspected
/// instances of the block's zone, or of all zones when that zone has fewer than two. The same view and
/// map give the same owners on every instance. Immutable; share it through Snapshot<Ownership>.
class Ownership {
public:
    Ownership() = default;
    Ownership(const MembershipView&, const ShardMap&);
    /// Ownership with "direct" routing: the instance owns every server, and so does each other instance
    /// that is not gone in the view. Without an entry for the instance in the view it owns no server.
    static Ownership ofDirectRouting(const InstanceName&, const MembershipView&, const ShardMap&);

    /// Returns null when the server is unknown or no instance can own it.
    const BlockOwners* ownersOf(const ServerName&) const;
    const std::map<ServerName, Block>& blocks() const { return m_blocks; }
    /// True when the instance is the owner or the standby of the server.
    bool holds(const InstanceName&, const ServerName&) const;
    /// Number of instances that may be connected to one server at the same time, by which the
    /// server's connection cap is divided.
    std::uint32_t holdersOfServer() const { return m_holdersOfServer; }

private:
    /// Two owners and two standbys, while some instances use an old view and others a new one.
    static constexpr std::uint32_t holdersInTwoViews = 4;

    std::map<ServerName, Block> m_blocks;
    std::map<Block, BlockOwners> m_owners;
    std::uint32_t m_holdersOfServer = holdersInTwoViews;
};

}
