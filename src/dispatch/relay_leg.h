#pragma once

#include "base/leg.h"

#include <memory>

namespace lycheefield {

/// A leg that a relay has taken and not yet answered. All legs of an order share the order.
struct RelayLeg {
    std::shared_ptr<const WorkOrder> order;
    LegOrder leg;
    TimePoint arrived;
    bool isProbe = false; ///< The content is suspect: the leg runs alone at the server.

    LegKey key() const { return { order->request, leg.leg, leg.attempt }; }
    TimePoint deadline() const { return order->deadline; }
};

/// A leg in flight at a server.
struct RunningLeg {
    RelayLeg leg;
    TimePoint sent;
    bool isCancelled = false; ///< The server was asked to cancel the leg.
    bool isExpired = false; ///< The deadline passed while the leg was at the server.
    bool isEntryDisconnected = false; ///< The entry disconnected: the result is dropped.
};

}
