#pragma once

#include "query/latency_histogram.h"

namespace lycheefield {

/// Legs whose latencies are alike: of one service, over the same kind of link.
struct LegClass {
    LatencyHistogram latencies;
    Duration hedgeDelay {}; ///< Recomputed from latencies now and then.
    std::uint32_t samplesUntilUpdate = 0;
};

}
