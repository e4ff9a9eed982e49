#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "base/leg.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

/// One kind of request that the load is made of.
struct RequestClass {
    std::string name;
    std::string path;
    RequestKind kind = RequestKind::Search;
    double weight = 1; ///< Share of the load, relative to the other classes.
    Duration deadline {}; ///< Sent as X-Deadline-Ms and used to count answers in time; zero: none.

    friend bool operator==(const RequestClass&, const RequestClass&) = default;
};

/// Parses "name:path:kind:weight:deadline-ms", for example "van:/search/van:search:0.5:80".
Result<RequestClass> parseRequestClass(std::string_view);

/// One side of an experiment: the instances that get its share of the load.
struct LoadSide {
    std::string name;
    std::vector<Endpoint> targets;
    std::vector<Endpoint> resendTargets {}; ///< Where orders are sent again; empty: to the targets.

    friend bool operator==(const LoadSide&, const LoadSide&) = default;
};

/// A whole run. With two sides, rounds alternate between them, so that both see the same machine.
struct LoadPlan {
    std::vector<LoadSide> sides;
    std::vector<RequestClass> classes;
    double ratePerSecond = 100;
    Duration roundLength { 5000000 };
    std::uint32_t rounds = 1; ///< Of each side.
    Duration warmUp { 1000000 }; ///< Sent before each round and not counted.
    std::uint64_t seed = 1;
    Duration timeout { 10000000 }; ///< An answer later than this is counted as none.
    std::size_t maxConnections = 2000; ///< Requests past it are counted as not sent.
    std::string csvPath; ///< Empty: no CSV.
    std::uint32_t resends = 0; ///< An order that did not run for sure is sent again this often, with the same key.
    std::string historyPath; ///< One JSON line for each call and its answer; empty: none.

    friend bool operator==(const LoadPlan&, const LoadPlan&) = default;
};

}
