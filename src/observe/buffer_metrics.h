#pragma once

#include "observe/metrics.h"

namespace lycheefield {

/// Adds what the process's BufferLimit counts to the metrics.
void registerBufferMetrics(Metrics&);

}
