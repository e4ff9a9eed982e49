#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace lycheefield {

/// What an entry knows of one backend server: its relay's last word and our own legs there.
struct ServerRecord {
    static constexpr Duration loadIsFreshFor = std::chrono::milliseconds(3);

    ServerName name;
    std::optional<ServerState> state;
    TimePoint stateAt {}; ///< When state was heard.
    double latencyMicros = 0; ///< Usual time from sending a leg to its answer; 0 when unknown.
    std::uint32_t outstanding = 0; ///< Our own legs there whose result is awaited.

    /// Legs there, as far as known: the relay counts all entries' legs, we count those it has not seen yet.
    std::uint32_t load(TimePoint now) const { return state && now - stateAt < loadIsFreshFor ? std::max(outstanding, state->inFlight + state->queued) : outstanding; }
    std::uint32_t slots() const { return state && state->slots > 0 ? state->slots : 1; }
    /// Takes one leg's time. A single outlier moves the usual time by a quarter at most.
    void noteLatency(Duration);
};

}
