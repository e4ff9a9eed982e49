#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <utility>

namespace lycheefield {

/// The platform's entry for one backend server. Immutable.
struct ServerEntry {
    ServerName name;
    ServiceName service;
    Endpoint endpoint;
    ZoneName zone;
    std::uint32_t slots = 1; ///< Requests that the server runs concurrently.
    bool isDraining = false; ///< The server accepts no new work.
    Duration warmupLeft {}; ///< Time after its listing during which the server is slow.
    std::int64_t startedAt = 0; ///< Start time of the server process in Unix milliseconds; differs after a restart.
    std::uint64_t sequence = 0; ///< Increases with each report of one server process.

    /// Returns whether this entry is more recent than the other entry of the same server.
    bool isNewerThan(const ServerEntry& other) const { return std::pair(startedAt, sequence) > std::pair(other.startedAt, other.sequence); }

    friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

}
