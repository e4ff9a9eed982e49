#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheefield {

/// One of the services that share a route's requests.
struct WeightedService {
    ServiceName service;
    double weight = 1;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// Where the requests of one host and path prefix go, and how long they may take. Immutable.
///
/// A route has either `targets`, one of which gets the whole request, or `shards`, each of which
/// gets a leg of it.
struct Route {
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with '/'.
    bool isIdempotent = false; ///< False: a request runs at most once.
    Duration timeout {}; ///< The longest that a request is kept waiting.
    Duration targetLatency {}; ///< An answer within this time is worth most.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    std::uint32_t maxRuns = 1; ///< Servers that one leg may run on.
    std::vector<WeightedService> targets;
    std::vector<ServiceName> shards;
    std::size_t topRecords = 0; ///< Records in the answer of a search.
    Share minimumCoverage { 1 }; ///< Share of the shards that an answer must cover.

    bool isSearch() const { return !shards.empty(); }
    /// Shards that an answer must cover; at least one.
    std::size_t minimumShards() const;

    friend bool operator==(const Route&, const Route&) = default;
};

}
