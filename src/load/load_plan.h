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

/// One class of requests in the load.
struct RequestClass {
    std::string name;
    std::string path;
    RequestKind kind = RequestKind::Search;
    double weight = 1; ///< Share of the load, relative to the other classes.
    Duration deadline {}; ///< Sent as X-Deadline-Ms; answers within it count as in time. Zero: no deadline.

    friend bool operator==(const RequestClass&, const RequestClass&) = default;
};

/// Parses "name:path:kind:weight:deadline-ms", for example "van:/search/van:search:0.5:80".
Result<RequestClass> parseRequestClass(std::string_view);

/// One side of an experiment: the instances that receive the load of its rounds.
struct LoadSide {
    std::string name;
    std::vector<Endpoint> targets;
    std::vector<Endpoint> resendTargets {}; ///< Instances to which orders are resent; empty: the targets.

    friend bool operator==(const LoadSide&, const LoadSide&) = default;
};

/// A whole run. With two sides, rounds alternate between the sides, so that both run under the same conditions
/// of the machine.
struct LoadPlan {
    std::vector<LoadSide> sides;
    std::vector<RequestClass> classes;
    double ratePerSecond = 100;
    Duration roundLength { 5000000 };
    std::uint32_t rounds = 1; ///< Per side.
    Duration warmUp { 1000000 }; ///< Load before each round that is not counted.
    std::uint64_t seed = 1;
    Duration timeout { 10000000 }; ///< A request without an answer after this long counts as cut.
    std::size_t maxConnections = 2000; ///< Requests beyond this limit count as not sent.
    std::string csvPath; ///< Empty: no CSV.
    std::uint32_t resends = 0; ///< An order without a complete answer is resent up to this many times, with the same key.
    std::string historyPath; ///< File with one JSON line for each call and its answer; empty: no history.

    friend bool operator==(const LoadPlan&, const LoadPlan&) = default;
};

}
