#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "forward/extra_attempt_budget.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

/// Bounds and weights of the decisions about forwarded requests.
struct ForwardSettings {
    ZoneName zone; ///< Of this instance.
    Share retryRatio { 0.2 }; ///< Of first sends: what the whole fleet may send again.
    std::uint32_t retrySlack = 0; ///< Sends again besides, of the whole fleet, in each window.
    Duration retryWindow = 10s;
    Duration answerMargin = 12ms; ///< A search is answered so long before its target latency.
    Share minHedgeDelay { 0.15 }; ///< Of the target latency.
    Share maxHedgeDelay { 0.40 }; ///< Of the target latency; also while the usual time is not known.
    Duration crossZoneCost = 12ms; ///< What a server in another zone must be better by.
    Share cores { 1 }; ///< Of one core, what this instance may use.

    friend bool operator==(const ForwardSettings&, const ForwardSettings&) = default;
};

}
