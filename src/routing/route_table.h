#pragma once

#include "http/http_limits.h"
#include "routing/route.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace lycheefield {

/// What the configuration says of a service's servers.
struct ServicePolicy {
    std::uint32_t maxConnections = 1; ///< That one server takes from all callers together.

    friend bool operator==(const ServicePolicy&, const ServicePolicy&) = default;
};

/// Every route of one version of the configuration. Immutable once built, so it is safe to share
/// between threads: a request keeps the table that it was matched with until it is answered.
struct RouteTable {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, ServicePolicy> services;
    HttpLimits callerLimits;

    /// The route with the longest prefix of the path among those of that host; null when there is
    /// none. The host may carry a port and any case; the path has no query.
    const Route* find(std::string_view host, std::string_view path) const;

    friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

}
