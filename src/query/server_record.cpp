#include "query/server_record.h"

namespace lycheefield {

void ServerRecord::recordLatency(Duration latency)
{
    constexpr double weight = 0.25;
    constexpr double outlierFactor = 2;
    const auto micros = static_cast<double>(latency.count());
    if (latencyMicros <= 0) {
        latencyMicros = micros;
        return;
    }
    latencyMicros += weight * (std::min(micros, outlierFactor * latencyMicros) - latencyMicros);
}

}
