#pragma once

#include "query/latency_histogram.h"

namespace lycheefield {

/// Legs with similar latencies: of one service, over the same kind of link.
struct LegClass {
    LatencyHistogram latencies;
    Duration hedgeDelay {}; ///< Recomputed from latencies after a number of samples.
    std::uint32_t samplesUntilUpdate = 0;
};

}
