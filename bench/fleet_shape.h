#pragma once

#include "base/time.h"
#include "query/query_settings.h"
#include "rules/rule.h"

#include <cstdint>

namespace lycheefield::bench {

/// One run of the bench: the fleet, its faults, the load and the policies.
struct FleetShape {
    std::uint32_t shards = 20;
    std::uint32_t zones = 3;
    std::uint32_t instancesPerZone = 3;
    std::uint32_t enginesPerInstance = 1; ///< They share the budgets and nothing else, as in a daemon.
    std::uint32_t slots = 2;
    std::uint32_t queries = 2000;
    std::uint32_t warmUp = 200; ///< Queries at the start that are not counted.
    double queriesPerSecond = 30;
    Duration service = 4ms; ///< Median time of a leg at a good server.
    double serviceSpread = 0.3; ///< Sigma of its lognormal distribution.
    bool isHalfExponential = false; ///< Instead: half of it fixed, half exponential, as the stand-in servers have it.
    Duration nearLink = 250us; ///< One way within a zone.
    Duration farLink = 3ms; ///< One way between zones.
    double slowReplicas = 0; ///< Share of servers that are always slow, at most one of a shard.
    double slowReplicaFactor = 10;
    double slowLegs = 0; ///< Share of legs that are slow by chance.
    double slowLegFactor = 20;
    double delayedMessages = 0; ///< Share of messages that are sent again.
    Duration retransmission = 200ms;
    double refusing = 0; ///< Share of legs that a server refuses at once.
    double failing = 0; ///< Share of legs that run and fail.
    double slowDown = 1; ///< Factor on every server's time.
    double poison = 0; ///< Share of queries whose content crashes a server.
    Duration downTime = 2s; ///< A crashed server is gone for this long.
    Rule rule;
    QuerySettings policies;
    std::uint64_t seed = 1;
};

/// What a run gave.
struct FleetFigures {
    double p50 = 0; ///< Milliseconds, from the arrival to the answer.
    double p99 = 0;
    double p999 = 0;
    double extraLegs = 0; ///< Hedges and retries for each first leg.
    double hedges = 0;
    double complete = 0; ///< Share of queries answered completely.
    double answered = 0; ///< Share of queries answered, completely or in part.
    double backendLoad = 0; ///< Legs that a server began, for each first leg.
    double wasted = 0; ///< Share of the servers' busy time spent on results not used.
    double cpuPerLeg = 0; ///< Microseconds of this thread in the engines, for each first leg.
    std::uint32_t crashedServers = 0; ///< Servers that a query crashed.
    std::uint32_t innocentsHit = 0; ///< Legs of other queries that died with a server.
    std::uint32_t shardsFelled = 0; ///< Times that both replicas of a shard were down together.
};

}
