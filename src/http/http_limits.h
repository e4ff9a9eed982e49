#pragma once

#include "base/buffer_limit.h"
#include "base/time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace lycheefield {

/// Limits on the memory and time that one side of an HTTP connection may cost the other.
struct HttpLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024 * 1024;
    std::size_t maxPipelinedBytes = 64 * 1024; ///< Read ahead while a request is being handled.
    std::uint64_t maxBufferedBytes = 64 * 1024 * 1024; ///< Received bytes of requests that are not answered yet, of all connections together.
    /// Limits the bytes of responses of all connections together, and ends those that hold too many.
    std::shared_ptr<BufferLimit> buffers = BufferLimit::ofProcess();
    std::size_t maxConnections = 8192;
    Duration headerTimeout = std::chrono::seconds(5); ///< From the first byte of a message to the end of its header.
    Duration messageTimeout = std::chrono::seconds(10); ///< From the first byte of a message to its last.
    Duration idleTimeout = std::chrono::seconds(75); ///< Between two requests on a connection.
    Duration writeTimeout = std::chrono::seconds(10);
    Duration checkInterval = std::chrono::seconds(1); ///< How often each connection checks its time-outs.

    friend bool operator==(const HttpLimits&, const HttpLimits&) = default;
};

/// Counters of an HTTP server. All members are thread safe.
struct HttpServerCounters {
    std::atomic<std::uint64_t> connections { 0 };
    std::atomic<std::uint64_t> requests { 0 };
    std::atomic<std::uint64_t> malformed { 0 }; ///< Requests answered with status 400; the connection is closed.
    std::atomic<std::uint64_t> oversized { 0 }; ///< Requests answered with status 413 or 431; the connection is closed.
    std::atomic<std::uint64_t> overMemoryLimit { 0 }; ///< Requests answered with status 503, because all connections together had too many buffered bytes.
    std::atomic<std::uint64_t> slow { 0 }; ///< Connections closed because reading a request or writing a response timed out.
    std::atomic<std::uint64_t> overConnectionLimit { 0 }; ///< Connections closed on arrival because the limit was reached.
    std::atomic<std::uint64_t> disconnectedCallers { 0 }; ///< Requests whose caller disconnected before the response was sent.
};

}
