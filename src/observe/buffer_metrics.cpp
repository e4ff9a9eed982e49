#include "observe/buffer_metrics.h"

#include "base/buffer_limit.h"

namespace lycheefield {

void registerBufferMetrics(Metrics& metrics)
{
    metrics.gauge("lycheefield_buffered_bytes", [] { return static_cast<double>(BufferLimit::ofProcess()->bytes()); });
    metrics.gauge("lycheefield_buffered_bytes_peak", [] { return static_cast<double>(BufferLimit::ofProcess()->peakBytes()); });
    metrics.count("lycheefield_connections_ended_for_memory_total", [] { return BufferLimit::ofProcess()->evictions(); });
}

}
