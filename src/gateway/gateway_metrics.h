#pragma once

#include "gateway/descriptor_budget.h"
#include "gateway/forward_driver.h"
#include "gateway/known_servers.h"
#include "http/http_limits.h"
#include "observe/decision_log.h"
#include "observe/metrics.h"

#include <functional>
#include <memory>

namespace lycheefield {

/// What a gateway's metrics are read from.
struct GatewayMetricsSources {
    const ForwardDriver& driver;
    const KnownServers& servers;
    const DecisionLog& log;
    std::shared_ptr<const HttpServerCounters> callers;
    std::function<bool()> isReady;
};

/// Adds the gauges and counters of a gateway to the metrics.
/// Precondition: the sources outlive the metrics' use, and the metrics are rendered where the sources may be read.
void registerGatewayMetrics(Metrics&, GatewayMetricsSources);

/// Adds the number of descriptors that the process may have open, and that each owner may have, to the metrics. A limit of 2^64 - 1 stands for none.
void registerDescriptorMetrics(Metrics&, const DescriptorBudget&);

}
