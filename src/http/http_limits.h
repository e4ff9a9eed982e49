#pragma once

#include "base/time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace lycheefield {

/// Bounds on what one side of an HTTP connection may make the other hold or wait for.
struct HttpLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024 * 1024;
    std::size_t maxPipelinedBytes = 64 * 1024; ///< Read ahead while a request is handled.
    std::size_t maxConnections = 8192;
    Duration headerTimeout = std::chrono::seconds(5); ///< From the first byte of a message to the end of its header.
    Duration messageTimeout = std::chrono::seconds(10); ///< From the first byte of a message to its last.
    Duration idleTimeout = std::chrono::seconds(75); ///< Between two requests of a connection.
    Duration writeTimeout = std::chrono::seconds(10);
    Duration checkInterval = std::chrono::seconds(1); ///< How often each connection looks whether it is late.

    friend bool operator==(const HttpLimits&, const HttpLimits&) = default;
};

/// Counts what an HTTP server turned away. All members are thread safe.
struct HttpServerCounters {
    std::atomic<std::uint64_t> connections { 0 };
    std::atomic<std::uint64_t> requests { 0 };
    std::atomic<std::uint64_t> malformed { 0 }; ///< Answered 400 and closed.
    std::atomic<std::uint64_t> oversized { 0 }; ///< Answered 413 or 431 and closed.
    std::atomic<std::uint64_t> slow { 0 }; ///< Closed because a message took too long.
    std::atomic<std::uint64_t> overLimit { 0 }; ///< Connections closed at once: too many.
    std::atomic<std::uint64_t> gone { 0 }; ///< The caller closed before its answer.
};

}
