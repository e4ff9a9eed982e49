#pragma once

#include "base/time.h"
#include "base/units.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

/// Switches and limits of the entry's policies. Each policy can be turned off to measure its benefit.
struct QuerySettings {
    bool hedge = true;
    bool chooseByLoad = true; ///< When off, replicas are chosen round robin.
    bool retryRefusals = true;
    Share hedgeWhenOutstanding { 0.25 }; ///< Legs are hedged once at most this share of a query's legs is outstanding.
    double veryLateFactor = 2; ///< Hedge delays after which a leg is hedged however many legs are outstanding.
    std::uint32_t maxAttempts = 3; ///< Limit for one leg, hedges included.
    Share hedgeQuantile { 0.95 }; ///< A leg is late when it takes hedgeDelayFactor times this quantile of its class.
    /// Allows a quantile well below the slow legs: a quantile close to their share rests on few samples and
    /// jumps between usual and slow latencies.
    double hedgeDelayFactor = 1.25;
    Duration minHedgeDelay = 2ms;
    /// Sends one leg of every search before the others, so that content which crashes servers crashes only one.
    /// When off, only searches with suspect content send a canary.
    bool canaryBeforeSearch = false;
    bool admission = true; ///< Refuses requests that can't meet their deadline before any leg is sent.
    /// Under overload, searches shed legs that their rule can spare, and lower priorities are refused early.
    bool shedding = true;
    Share minShedPressure { 0.2 }; ///< Pressure from which a search sheds its first leg.
    Share fullShedPressure { 0.7 }; ///< Pressure from which a search sheds all legs that its rule can spare.
    Share maxHedgePressure { 0.1 }; ///< Above this pressure a search is not hedged: a hedge would take a slot from another request.
    Share maxHigherPriorityPressure { 0.1 }; ///< Above this pressure from higher priorities a search is refused.
    Duration crossZoneCost = 3ms; ///< One-way latency penalty of a replica in another zone.

    friend bool operator==(const QuerySettings&, const QuerySettings&) = default;
};

}
