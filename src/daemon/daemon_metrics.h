#pragma once

#include "daemon/entry_driver.h"
#include "daemon/relay_driver.h"
#include "http/http_limits.h"
#include "observe/metrics.h"
#include "wire/frame_session.h"

#include <memory>

namespace lycheefield {

/// Registers the counters of the roles under their Prometheus names. Precondition: both drivers
/// outlive the use of the metrics.
void registerEntryMetrics(Metrics&, const EntryDriver&);
void registerRelayMetrics(Metrics&, const RelayDriver&);
void registerHttpMetrics(Metrics&, std::shared_ptr<const HttpServerCounters>);
void registerWireMetrics(Metrics&, std::shared_ptr<const WireCounters>);
/// Registers the processor time and memory of this process.
void registerProcessMetrics(Metrics&);

}
