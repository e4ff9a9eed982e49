#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace lycheefield {

/// State of one backend server at an entry: the last report of its relay and this entry's own legs there.
struct ServerRecord {
    static constexpr Duration maxLoadAgeForChoice = std::chrono::milliseconds(3);

    ServerName name;
    std::optional<ServerState> state;
    TimePoint stateAt {}; ///< When state was received.
    double latencyMicros = 0; ///< Smoothed time from sending a leg to its response; 0 when unknown.
    PriorityCounts outstanding; ///< This entry's legs there whose result is awaited.

    /// Returns how many legs at the server are ahead of a new one of this priority. The relay's report covers
    /// the legs of all entries; the entry's own count includes legs that the relay has not reported yet. Lower
    /// priorities queue behind and don't count: otherwise they would gather at one replica and drive the higher
    /// priorities to the other.
    std::uint32_t load(Priority priority, TimePoint now) const
    {
        const auto own = outstanding.upTo(priority);
        return state && now - stateAt < maxLoadAgeForChoice ? std::max(own, state->ahead(priority)) : own;
    }
    std::uint32_t slots() const { return state && state->slots > 0 ? state->slots : 1; }
    /// Updates the smoothed latency. A single outlier changes the value by at most a quarter.
    void recordLatency(Duration);
};

}
