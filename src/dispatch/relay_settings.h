#pragma once

#include "base/time.h"
#include "base/units.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

/// The switches and bounds of the relay's policies. Each policy can be turned off to measure its effect.
struct RelaySettings {
    bool admission = true; ///< Refuse legs that cannot be finished before their deadline.
    bool ejection = true;
    bool slowStart = true;
    bool quarantine = true;
    std::uint32_t reservedConnections = 2; ///< Connections of a server's cap left for clients other than relays.
    Share ownerShareOfCap { 0.25 }; ///< Maximum share of the remaining connections that one relay holds.
    std::uint32_t maxQueuePerServer = 64;
    Duration slowStartTime = 2s;
    Duration ejectionTime = 5s;
    Duration quarantineTime = 5min;
    Share ejectionFloor { 0.5 }; ///< Share of a service's servers, per engine, that ejection leaves in use.

    friend bool operator==(const RelaySettings&, const RelaySettings&) = default;
};

}
