#pragma once

#include "base/strong_id.h"

#include <cstdint>
#include <string>

namespace lycheefield {

/// Group of shards that answer one kind of search together, for example "quotedesk".
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
/// Name of a backend server, unique across all services.
using ServerName = StrongId<struct ServerNameTag, std::string>;
/// Name of a lycheefieldd instance, unique across both regions.
using InstanceName = StrongId<struct InstanceNameTag, std::string>;
using ZoneName = StrongId<struct ZoneNameTag, std::string>;
/// Name of a team: callers that share API keys, a priority and a quota.
using TeamName = StrongId<struct TeamNameTag, std::string>;
/// Identifier of an index batch, the unit in which coverage is measured.
using BatchId = StrongId<struct BatchIdTag, std::string>;
/// Key under which a caller submits a request that must not run more than once.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;

using ShardNumber = StrongId<struct ShardNumberTag, std::uint32_t>;
/// Position of a leg within its query; each leg is sent to exactly one shard.
using LegNumber = StrongId<struct LegNumberTag, std::uint32_t>;
/// Number of an attempt within its leg: 0 is the first attempt; hedges and retries follow.
using AttemptNumber = StrongId<struct AttemptNumberTag, std::uint32_t>;
/// Version of the index snapshot that an answer is computed from.
using IndexVersion = StrongId<struct IndexVersionTag, std::uint64_t>;
/// Number of times that the shards of a service have been repartitioned.
using PartitionEpoch = StrongId<struct PartitionEpochTag, std::uint64_t>;
using RuleRevision = StrongId<struct RuleRevisionTag, std::uint64_t>;
/// Random number drawn at process start, so that an instance's requests before and after a restart are told apart.
using ProcessLife = StrongId<struct ProcessLifeTag, std::uint64_t>;
/// Hash of a request's content, identical on every instance.
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;
/// Sequence number of a caller's request, unique within this process.
using RequestNumber = StrongId<struct RequestNumberTag, std::uint64_t>;
/// Identifier of a connection from this process to a backend server.
using ConnectionId = StrongId<struct ConnectionIdTag, std::uint64_t>;

}
