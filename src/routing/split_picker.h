#pragma once

#include "routing/route.h"

#include <map>
#include <string>
#include <vector>

namespace lycheefield {

/// Deals the requests of a route out to its weighted services by smooth weighted round robin, so
/// that each gets its share of any run of requests. Not thread safe.
class SplitPicker {
public:
    /// The service for the next request. Precondition: the route has targets.
    const ServiceName& pick(const Route&);
    /// Forgets routes that are not in use any more, so that memory follows the configuration.
    void keepOnly(const std::vector<Route>&);

private:
    /// What each service is owed, in order of the route's targets.
    struct Turns {
        std::vector<WeightedService> targets;
        std::vector<double> credits;
    };

    std::map<std::string, Turns> m_turns;
};

}
