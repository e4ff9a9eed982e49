#pragma once

#include <cstdint>

namespace lycheefield {

/// Calls to the platform since the process started, in the categories that the platform counts.
struct PlatformCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t instanceCalls = 0;
    std::uint64_t refusedByBudget = 0; ///< Not sent, because this instance's call budget was used up.
    std::uint64_t refusedByPause = 0; ///< Not sent, because the platform had refused several calls in a row.
    std::uint64_t unavailable = 0;
    std::uint64_t lost = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;

    friend bool operator==(const PlatformCounters&, const PlatformCounters&) = default;
};

}
