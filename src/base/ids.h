#pragma once

#include "base/strong_id.h"

#include <cstdint>
#include <string>

namespace lycheefield {

/// A group of shards that answer one kind of search together, for example "quotedesk".
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
/// One backend server, unique over all services.
using ServerName = StrongId<struct ServerNameTag, std::string>;
/// One instance of lycheefieldd, unique over both regions.
using InstanceName = StrongId<struct InstanceNameTag, std::string>;
using ZoneName = StrongId<struct ZoneNameTag, std::string>;
/// One batch of the index, the unit in which coverage is counted.
using BatchId = StrongId<struct BatchIdTag, std::string>;
/// The key by which a caller names a request that must not run twice.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;

using ShardNumber = StrongId<struct ShardNumberTag, std::uint32_t>;
/// Position of a leg within its query; a leg asks exactly one shard.
using LegNumber = StrongId<struct LegNumberTag, std::uint32_t>;
/// Counts the tries of one leg: 0 is the first, hedges and retries follow.
using AttemptNumber = StrongId<struct AttemptNumberTag, std::uint32_t>;
/// Version of the index snapshot that an answer reflects.
using IndexVersion = StrongId<struct IndexVersionTag, std::uint64_t>;
/// Counts the repartitions of one service's shards.
using PartitionEpoch = StrongId<struct PartitionEpochTag, std::uint64_t>;
using RuleRevision = StrongId<struct RuleRevisionTag, std::uint64_t>;
/// Random bits drawn once when a process starts: two lives of one instance never share it.
using ProcessLife = StrongId<struct ProcessLifeTag, std::uint64_t>;
/// Hash of a request's content; equal content has equal fingerprints on every instance.
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;
/// One connection from this process to a backend server.
using ConnectionId = StrongId<struct ConnectionIdTag, std::uint64_t>;

}
