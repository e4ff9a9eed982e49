#include "gateway/gateway_metrics.h"

#include "gateway/forward_counters_metrics.h"
#include "observe/buffer_metrics.h"

#include <cstdint>
#include <string>
#include <utility>

namespace lycheefield {

void registerGatewayMetrics(Metrics& metrics, GatewayMetricsSources sources)
{
    const auto& driver = sources.driver;
    const auto& servers = sources.servers;
    registerForwardCounters(metrics, driver.counters());
    registerBufferMetrics(metrics);
    metrics.gauge("lycheefield_ready", [isReady = std::move(sources.isReady)] { return isReady() ? 1 : 0; });
    metrics.gauge("lycheefield_store_reachable", [&servers] { return servers.isStoreReachable() ? 1 : 0; });
    metrics.gauge("lycheefield_configuration_version", [&driver] { return driver.routes() ? static_cast<double>(driver.routes()->version) : 0; });
    metrics.gauge("lycheefield_servers", [&servers] { return static_cast<double>(servers.count()); });
    metrics.gauge("lycheefield_drained_zones", [&servers] { return static_cast<double>(servers.drainedZones()); });
    metrics.gauge("lycheefield_server_connections", [&driver] { return static_cast<double>(driver.serverConnections()); });
    metrics.gauge("lycheefield_requests_waiting_for_connection", [&driver] { return static_cast<double>(driver.waitingForConnections()); });
    metrics.gauge("lycheefield_requests_leaving_zone_share", [&driver] { return driver.highestLeftShare(); });
    metrics.gauge("lycheefield_requests_in_flight", [&driver] { return static_cast<double>(driver.inFlight()); });
    metrics.count("lycheefield_log_lines_left_out_total", [&log = sources.log] { return log.droppedLines(); });
    metrics.count("lycheefield_http_connections_total", [callers = sources.callers] { return callers->connections.load(); });
    metrics.count("lycheefield_http_rejected_total{why=\"too many connections\"}", [callers = sources.callers] { return callers->overConnectionLimit.load(); });
}

void registerDescriptorMetrics(Metrics& metrics, const DescriptorBudget& budget)
{
    const auto gauge = [&metrics](const std::string& name, std::uint64_t descriptors) {
        metrics.gauge("lycheefield_" + name, [descriptors] { return static_cast<double>(descriptors); });
    };
    gauge("descriptor_limit", budget.limit());
    gauge("descriptors_allowed{owner=\"callers\"}", budget.forCallers());
    gauge("descriptors_allowed{owner=\"servers\"}", budget.forServers());
    gauge("descriptors_allowed{owner=\"rest\"}", budget.rest());
}

}
