#pragma once

#include "routing/route.h"

#include <map>
#include <string>
#include <vector>

namespace lycheefield {

/// Distributes a route's requests over its weighted services by smooth weighted round robin, so that
/// each service gets its share of any sequence of requests. Not thread safe.
class SplitPicker {
public:
    /// Returns the service for the next request, by reference into the route. Precondition: the route has targets.
    const ServiceName& pick(const Route&);
    /// Removes the state of routes that are not listed, to bound memory across configuration changes.
    void keepOnly(const std::vector<Route>&);

private:
    /// Round-robin state of one route; the weights are in the order of the targets.
    struct Rotation {
        std::vector<WeightedService> targets;
        std::vector<double> currentWeights;
    };

    std::map<std::string, Rotation> m_rotations;
};

}
