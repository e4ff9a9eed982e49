#pragma once

#include <cstdint>

namespace lycheefield {

/// Calls to the platform since the process started, as it counts them.
struct PlatformCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t instanceCalls = 0;
    std::uint64_t refusedByBudget = 0; ///< Never sent: this instance's own budget was spent.
    std::uint64_t refusedByPause = 0; ///< Never sent: the platform refused the calls before.
    std::uint64_t unavailable = 0;
    std::uint64_t lost = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;

    friend bool operator==(const PlatformCounters&, const PlatformCounters&) = default;
};

}
