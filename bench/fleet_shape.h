#pragma once

#include "base/time.h"
#include "query/query_settings.h"
#include "rules/rule.h"

#include <cstdint>

namespace lycheefield::bench {

/// Configuration of one run of the bench: the fleet, its faults, the load and the policies.
struct FleetShape {
    std::uint32_t shards = 20;
    std::uint32_t zones = 3;
    std::uint32_t instancesPerZone = 3;
    std::uint32_t enginesPerInstance = 1; ///< The engines of an instance share only their budgets, as in the daemon.
    std::uint32_t slots = 2;
    std::uint32_t queries = 2000;
    std::uint32_t warmUp = 200; ///< Number of queries at the start that the figures leave out.
    double queriesPerSecond = 30;
    Duration service = 4ms; ///< Median service time of a leg at a server without faults.
    double serviceSpread = 0.3; ///< Sigma of the lognormal distribution of the service time.
    bool isHalfExponential = false; ///< Replaces the lognormal distribution: half of the service time is fixed, half exponential, as at the stand-in servers.
    Duration nearLink = 250us; ///< One-way delay within a zone.
    Duration farLink = 3ms; ///< One-way delay between zones.
    double slowReplicas = 0; ///< Share of servers that are always slow, at most one per shard.
    double slowReplicaFactor = 10;
    double slowLegs = 0; ///< Share of legs that are slow at random.
    double slowLegFactor = 20;
    double delayedMessages = 0; ///< Share of messages that are retransmitted.
    Duration retransmission = 200ms;
    double refusing = 0; ///< Share of legs that a server refuses immediately.
    double failing = 0; ///< Share of legs that run and fail.
    double slowDown = 1; ///< Factor on the service time of every server.
    double poison = 0; ///< Share of queries whose content crashes a server.
    Duration restartTime = 2s; ///< Time until a crashed server is up again.
    Rule rule;
    QuerySettings policies;
    std::uint64_t seed = 1;
};

/// Results of one run.
struct FleetFigures {
    double p50 = 0; ///< Milliseconds, from the arrival to the answer.
    double p99 = 0;
    double p999 = 0;
    double extraLegs = 0; ///< Hedges and retries per first leg.
    double hedges = 0;
    double complete = 0; ///< Share of queries answered completely.
    double answered = 0; ///< Share of queries answered, completely or in part.
    double backendLoad = 0; ///< Legs that a server started, per first leg.
    double wasted = 0; ///< Share of the servers' busy time spent on unused results.
    double cpuPerLeg = 0; ///< Microseconds of this thread in the engines, per first leg.
    std::uint32_t crashedServers = 0; ///< Number of server crashes caused by queries.
    std::uint32_t collateralLegs = 0; ///< Legs of other queries that were lost in a server's crash.
    std::uint32_t shardOutages = 0; ///< Number of times that both replicas of a shard were down together.
};

}
