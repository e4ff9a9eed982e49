#pragma once

#include "http/http_limits.h"
#include "routing/route.h"
#include "routing/team_directory.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace lycheefield {

/// Configured limits of a service's servers.
struct ServicePolicy {
    std::uint32_t maxConnections = 1; ///< Connections that one server accepts from all instances together.
    double warmupRate = 0; ///< Requests per second that a server takes from all instances together while it warms up; 0: no limit.

    friend bool operator==(const ServicePolicy&, const ServicePolicy&) = default;
};

/// All routes of one configuration version. Immutable once built, and therefore safe to share between
/// threads. A request keeps the table that it was matched with until it is answered.
struct RouteTable {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, ServicePolicy> services;
    HttpLimits callerLimits;
    std::shared_ptr<const TeamDirectory> teams; ///< Null when requests need no API key.

    /// Returns the host's route with the longest matching path prefix; null when none matches. The host
    /// is case-insensitive and may include a port; the path must not include a query.
    const Route* find(std::string_view host, std::string_view path) const;

    /// Returns the search route of that name, by which delegated legs run; null when there is none with these limits.
    /// The delegating instance names the shards and answers by its own table, so this table may be of another version:
    /// while a version spreads through the fleet, instances with either version run each other's legs.
    const Route* findSearch(std::string_view name, const SearchLimits&) const;

    friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

}
