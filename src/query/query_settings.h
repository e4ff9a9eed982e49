#pragma once

#include "base/time.h"
#include "base/units.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

/// Switches and bounds of the entry's policies. Each policy can be turned off to measure what it earns.
struct QuerySettings {
    bool hedge = true;
    bool chooseByLoad = true; ///< Off: replicas in turn.
    bool retryRefusals = true;
    Share hedgeWhenOutstanding { 0.25 }; ///< Legs are hedged once a query waits for this share of them at most.
    double veryLateFactor = 2; ///< A leg later than this many hedge delays is hedged however many are outstanding.
    std::uint32_t maxAttempts = 3; ///< Of one leg, hedges included.
    Share hedgeQuantile { 0.95 }; ///< A leg is late that takes hedgeDelayFactor times this quantile of its class.
    /// Keeps the quantile away from the few slow legs that it is to find: one close to their share jumps
    /// among them and back, as few samples have it.
    double hedgeDelayFactor = 1.25;
    Duration minimumHedgeDelay = 2ms;
    /// One leg of every search goes ahead of the others, so that content which crashes servers fells one.
    /// Off: only that of content under suspicion.
    bool canaryBeforeSearch = false;
    bool admission = true; ///< Refuse what can't be done in time before it costs anything.
    /// Under overload a search gives up legs that its rule can spare, and lower priorities are refused early.
    bool shedding = true;
    Share minShedPressure { 0.2 }; ///< Pressure from which a search gives up a first leg.
    Share fullShedPressure { 0.7 }; ///< Pressure from which it gives up all that its rule can spare.
    Share maxHedgePressure { 0.1 }; ///< Pressure past which a search is not hedged: a second leg would take another's slot.
    Share maxHigherPriorityPressure { 0.1 }; ///< Pressure of higher priorities past which a search is refused.
    Duration crossZoneCost = 3ms; ///< What a replica in another zone must be better by.

    friend bool operator==(const QuerySettings&, const QuerySettings&) = default;
};

}
