#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "base/units.h"

#include <cstdint>
#include <string>

namespace lycheefield {

using namespace std::chrono_literals;

/// Limits and budgets of this instance's calls to the platform.
struct PlatformClientSettings {
    Endpoint endpoint;
    Duration connectTimeout = 300ms;
    Duration callTimeout = 1s; ///< From the call to its response, including the wait for a connection.
    Duration watchTimeout = 25s; ///< Longest wait of one watch; after it the watch is repeated.
    std::uint32_t maxConnections = 16; ///< Of the keep-alive pool; each watch opens a connection of its own besides.
    ByteCount maxResponse = mebibytes(64); ///< A call with a longer response fails.
    std::uint32_t maxWaitingCalls = 1000; ///< Calls that wait for a connection; further calls are refused.
    std::uint32_t readsPerSecond = 200; ///< Budget of reads, lists, watches and fetches of the instance list, together.
    std::uint32_t writesPerSecond = 150; ///< Budget of writes and reports.
    std::string epochHeader; ///< Names the response header with the store's epoch; empty: the store names none.
    Duration initialBackoff = 20ms;
    Duration maxBackoff = 2s;
    std::uint32_t failuresBeforePause = 5; ///< Calls pause for the back-off after this many refusals in a row.

    friend bool operator==(const PlatformClientSettings&, const PlatformClientSettings&) = default;
};

}
