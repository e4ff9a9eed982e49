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
    static constexpr Duration maxLoadAgeForChoice = std::chrono::milliseconds(3);

    ServerName name;
    std::optional<ServerState> state;
    TimePoint stateAt {}; ///< When state was heard.
    double latencyMicros = 0; ///< Usual time from sending a leg to its answer; 0 when unknown.
    PriorityCounts outstanding; ///< Our own legs there whose result is awaited.

    /// Legs there that one of this priority finds before it, as far as known: the relay counts all
    /// entries' legs, we count those it has not seen yet. Lower priorities wait behind and don't count:
    /// if they did, they would gather at one replica and drive the higher ones to the other.
    std::uint32_t load(Priority priority, TimePoint now) const
    {
        const auto own = outstanding.upTo(priority);
        return state && now - stateAt < maxLoadAgeForChoice ? std::max(own, state->ahead(priority)) : own;
    }
    std::uint32_t slots() const { return state && state->slots > 0 ? state->slots : 1; }
    /// Takes one leg's time. A single outlier moves the usual time by a quarter at most.
    void recordLatency(Duration);
};

}
