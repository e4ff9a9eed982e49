#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <utility>

namespace lycheefield {

/// What the platform lists of one backend server. Immutable.
struct ServerEntry {
    ServerName name;
    ServiceName service;
    Endpoint endpoint;
    ZoneName zone;
    std::uint32_t slots = 1; ///< Requests that it runs at the same time.
    bool isDraining = false; ///< It takes no new work.
    Duration warmupLeft {}; ///< It stays slow for this long after it was listed.
    std::int64_t startedAt = 0; ///< Unix milliseconds; another value is another life of the server.
    std::uint64_t sequence = 0; ///< Grows with each report of one life.

    /// Whether it says later things than the other of the same server.
    bool isNewerThan(const ServerEntry& other) const { return std::pair(startedAt, sequence) > std::pair(other.startedAt, other.sequence); }

    friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

}
