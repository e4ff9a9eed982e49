#pragma once

#include "base/leg.h"

#include <memory>

namespace lycheefield {

/// One leg that a relay has taken and not yet answered. The order is shared by all its legs.
struct RelayLeg {
    std::shared_ptr<const WorkOrder> order;
    LegOrder leg;
    TimePoint arrived;
    bool isProbe = false; ///< Its content is suspected: it runs alone at the server.

    LegKey key() const { return { order->request, leg.leg, leg.attempt }; }
    TimePoint deadline() const { return order->deadline; }
};

/// A leg that was handed to a connection of a server.
struct RunningLeg {
    RelayLeg leg;
    TimePoint sent;
    bool isCancelled = false; ///< CancelAtServer was sent.
    bool isOverdue = false; ///< Cancelled because its deadline passed at the server.
    bool isEntryLost = false; ///< Nobody waits for the result any more.
};

}
