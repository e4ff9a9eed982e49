#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "forward/extra_attempt_budget.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

/// Limits and weights for the decisions about forwarded requests.
struct ForwardSettings {
    InstanceName instance; ///< The name of this instance.
    ZoneName zone; ///< The zone of this instance.
    Share retryRatio { 0.2 }; ///< Extra attempts of the whole fleet, as a share of first attempts.
    double retrySlack = 0; ///< Extra attempts of the whole fleet in each window in addition to the ratio.
    Duration retryWindow = 10s;
    Duration answerMargin = 8ms; ///< Time kept free before the target latency, besides the times on the network and for merging the parts.
    Share minHedgeDelay { 0.15 }; ///< As a share of the target latency.
    Share maxHedgeDelay { 0.40 }; ///< As a share of the time until the answer is due; also the delay until enough latencies are recorded.
    Duration crossZoneCost = 12ms; ///< Added to the expected latency of a server in another zone.
    double warmupTolerance = 1; ///< A server that warms up takes this multiple of its configured rate.
    double warmupSlack = 0; ///< And so many further requests in one second.
    Share cores { 1 }; ///< Processor cores that this instance may use.

    friend bool operator==(const ForwardSettings&, const ForwardSettings&) = default;
};

}
