#include "http/probe_limits.h"

#include "base/local_resources.h"

namespace lycheefield {

namespace {

constexpr std::size_t maxProbeConnections = 64;
constexpr std::size_t probeDescriptorDivisor = 32;
constexpr Duration probeIdleTimeout = std::chrono::seconds(15);

}

HttpLimits probeLimits()
{
    HttpLimits limits;
    limits.maxConnections = shareOfDescriptors(probeDescriptorDivisor, maxProbeConnections);
    limits.idleTimeout = probeIdleTimeout;
    return limits;
}

}
