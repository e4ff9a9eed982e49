#include "http/probe_limits.h"

#include "base/local_resources.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::size_t minProbeConnections = 16;
constexpr std::size_t maxProbeConnections = 64;
constexpr std::size_t probeDescriptorDivisor = 64;
constexpr Duration probeIdleTimeout = std::chrono::seconds(10);

}

HttpLimits probeLimits()
{
    HttpLimits limits;
    limits.maxConnections = std::max(minProbeConnections, shareOfDescriptors(probeDescriptorDivisor, maxProbeConnections));
    limits.idleTimeout = probeIdleTimeout;
    return limits;
}

}
