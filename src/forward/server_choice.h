#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "placement/zone_spill.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace lycheefield {

/// Why a server can't be chosen for a request now.
enum class ServerExclusion : std::uint8_t {
    None, ///< The server can be chosen.
    NoNewWork, ///< The server is no longer listed, leaves or drains.
    Tried, ///< The request has been sent to the server already.
    Limited, ///< The server's limits or its Retry-After allow no request.
    ConnectionsUsed, ///< This instance uses its share of the server's connections.
};

std::string_view toString(ServerExclusion);

/// One server as a candidate for a request.
struct ServerStanding {
    ServerName server;
    ZoneName zone;
    Duration expected {}; ///< Expected latency, with all penalties and the network cost of its zone.
    ServerExclusion exclusion = ServerExclusion::None;

    friend bool operator==(const ServerStanding&, const ServerStanding&) = default;
};

/// What the choice of a server for a service would be based on now.
struct ServerChoice {
    std::vector<ServerStanding> servers; ///< Those that can be chosen first, then by expected latency.
    ZoneSpillInputs zoneInputs;
    double mayLeaveShare = 0; ///< Share of the requests that may leave the zone although it could serve them in time.
    double leftShare = 0; ///< Share of the last requests that left the zone.

    friend bool operator==(const ServerChoice&, const ServerChoice&) = default;
};

}
