#pragma once

#include "forward/forward_engine.h"
#include "observe/metrics.h"

namespace lycheefield {

/// Adds the engine's counters to the metrics. Precondition: the counters outlive the metrics' use.
void registerForwardCounters(Metrics&, const ForwardCounters&);

}
