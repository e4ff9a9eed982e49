#pragma once

#include "base/time.h"
#include "base/units.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

/// Switches and bounds of the relay's policies. Each policy can be turned off to measure what it earns.
struct RelaySettings {
    bool admission = true; ///< Refuse work that can't be done before its deadline.
    bool ejection = true;
    bool slowStart = true;
    bool quarantine = true;
    std::uint32_t reservedConnections = 2; ///< Of a server's cap, left to others than us.
    Share ownerShareOfCap { 0.25 }; ///< Of what is left: connections that one relay holds at most.
    std::uint32_t maxQueuePerServer = 64;
    Duration slowStartTime = 2s;
    Duration ejectionTime = 5s;
    Duration quarantineTime = 5min;
    Share ejectionFloor { 0.5 }; ///< Share of a block's servers that are never ejected together.

    friend bool operator==(const RelaySettings&, const RelaySettings&) = default;
};

}
