#pragma once

#include "base/endpoint.h"

#include <compare>
#include <optional>

namespace lycheefield {

/// Route to a peer: its endpoint, and the cross-zone gateway if the connection needs one.
struct PeerRoute {
    Endpoint peer;
    std::optional<Endpoint> gateway; ///< Opens a tunnel to the peer by HTTP CONNECT.

    /// Returns the endpoint of the TCP connection.
    const Endpoint& firstHop() const { return gateway ? *gateway : peer; }

    friend bool operator==(const PeerRoute&, const PeerRoute&) = default;
};

}
