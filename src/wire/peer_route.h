#pragma once

#include "base/endpoint.h"

#include <compare>
#include <optional>

namespace lycheefield {

/// How to reach a peer: where it listens, and the gateway between the zones if there is one.
struct PeerRoute {
    Endpoint peer;
    std::optional<Endpoint> gateway; ///< Asked by HTTP CONNECT to pass the connection on.

    /// Where the TCP connection goes first.
    const Endpoint& firstHop() const { return gateway ? *gateway : peer; }

    friend bool operator==(const PeerRoute&, const PeerRoute&) = default;
};

}
