#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

/// How this instance calls the platform.
struct PlatformClientSettings {
    Endpoint endpoint;
    Duration connectTimeout = 300ms;
    Duration callTimeout = 1s; ///< From the call to its answer, waiting for a connection included.
    Duration watchTimeout = 25s; ///< After this an unanswered watch is asked again.
    std::uint32_t maxConnections = 16; ///< Kept alive between calls; each watch has one of its own besides.
    std::uint32_t maxWaitingCalls = 1000; ///< Calls waiting for a connection; more are refused.
    std::uint32_t readsPerSecond = 200; ///< Budget for reads, lists, watches and the instance list.
    std::uint32_t writesPerSecond = 150; ///< Budget for writes.
    Duration initialBackoff = 20ms;
    Duration maxBackoff = 2s;
    std::uint32_t failuresBeforePause = 5; ///< After so many refusals in a row calls pause for the backoff.

    friend bool operator==(const PlatformClientSettings&, const PlatformClientSettings&) = default;
};

}
