#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "routing/search_limits.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheefield {

/// A service and its weight in a route's traffic split.
struct WeightedService {
    ServiceName service;
    double weight = 1;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// The services, time limits and coverage for the requests of one host and path prefix. Immutable.
///
/// A route has either `targets`, one of which receives the whole request, or `shards`, each of which
/// receives one leg.
struct Route {
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with '/'.
    bool isIdempotent = false; ///< When false, a request runs at most once.
    Duration timeout {}; ///< Maximum time from request to answer.
    Duration targetLatency {}; ///< Answers within this time have the highest value.
    std::uint32_t rank = 0; ///< Priority; 0 is the most urgent.
    std::uint32_t maxRuns = 1; ///< Maximum number of servers that one leg may run on.
    std::vector<WeightedService> targets;
    std::vector<ServiceName> shards;
    std::size_t topRecords = 0; ///< Records in the answer of a search.
    Share minCoverage { 1 }; ///< Minimum share of the shards in an answer.
    bool isPublic = false; ///< Needs no API key, although the configuration has teams.

    bool isSearch() const { return !shards.empty(); }
    SearchLimits searchLimits() const { return { topRecords, maxRuns }; }
    /// Returns the minimum number of shards in an answer; at least one.
    std::size_t minimumShards() const { return minimumOf(shards.size()); }
    /// Returns the same for n of the shards.
    std::size_t minimumOf(std::size_t n) const;

    friend bool operator==(const Route&, const Route&) = default;
};

}
