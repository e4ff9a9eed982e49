#include "daemon/daemon_metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace lycheefield {

namespace {

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double microsPerSecond = 1e6;
    const auto seconds = [](const timeval& it) { return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / microsPerSecond; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentBytes()
{
    std::ifstream in("/proc/self/statm");
    std::uint64_t pages = 0;
    std::uint64_t resident = 0;
    in >> pages >> resident;
    return static_cast<double>(resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)));
}

}

void registerEntryMetrics(Metrics& metrics, const EntryDriver& entry)
{
    const auto count = [&](const char* name, std::uint64_t QueryCounters::*member) {
        metrics.count(name, [&entry, member] { return entry.counters().*member; });
    };
    count("lycheefield_query_requests_total", &QueryCounters::requests);
    count("lycheefield_query_first_legs_total", &QueryCounters::firstLegs);
    count("lycheefield_query_hedges_total", &QueryCounters::hedges);
    count("lycheefield_query_retries_total", &QueryCounters::retries);
    count("lycheefield_query_cancels_total", &QueryCounters::cancels);
    count("lycheefield_query_stray_results_total", &QueryCounters::strayResults);
    count("lycheefield_query_reroutes_total", &QueryCounters::reroutes);
    count("lycheefield_query_shed_legs_total", &QueryCounters::shedLegs);
    count("lycheefield_query_restarts_total", &QueryCounters::restarts);
    count("lycheefield_answers_total{coverage=\"complete\"}", &QueryCounters::completeAnswers);
    count("lycheefield_answers_total{coverage=\"partial\"}", &QueryCounters::partialAnswers);
    count("lycheefield_answers_total{coverage=\"refused\"}", &QueryCounters::refusals);
    metrics.count("lycheefield_foreign_results_total", [&entry] { return entry.foreignResults(); });
    metrics.gauge("lycheefield_requests_in_flight", [&entry] { return static_cast<double>(entry.inFlight()); });
}

void registerRelayMetrics(Metrics& metrics, const RelayDriver& relay)
{
    const auto count = [&](const char* name, std::uint64_t RelayCounters::*member) {
        metrics.count(name, [&relay, member] { return relay.counters().*member; });
    };
    count("lycheefield_relay_legs_total", &RelayCounters::legs);
    count("lycheefield_relay_sent_total", &RelayCounters::sent);
    count("lycheefield_relay_refused_total", &RelayCounters::refused);
    count("lycheefield_relay_expired_total", &RelayCounters::expired);
    count("lycheefield_relay_cancelled_total{where=\"queue\"}", &RelayCounters::cancelledInQueue);
    count("lycheefield_relay_cancelled_total{where=\"server\"}", &RelayCounters::cancelledAtServer);
    count("lycheefield_relay_crashes_total", &RelayCounters::crashes);
    count("lycheefield_relay_quarantined_total", &RelayCounters::quarantined);
    count("lycheefield_relay_ejections_total", &RelayCounters::ejections);
    count("lycheefield_relay_wasted_total", &RelayCounters::wasted);
    count("lycheefield_relay_connections_opened_total", &RelayCounters::connectionsOpened);
    metrics.gauge("lycheefield_relay_legs_in_flight", [&relay] { return static_cast<double>(relay.inFlight()); });
}

void registerHttpMetrics(Metrics& metrics, std::shared_ptr<const HttpServerCounters> counters)
{
    using Member = std::atomic<std::uint64_t> HttpServerCounters::*;
    const auto count = [&](const char* name, Member member) {
        metrics.count(name, [counters, member] { return ((*counters).*member).load(); });
    };
    count("lycheefield_http_connections_total", &HttpServerCounters::connections);
    count("lycheefield_http_requests_total", &HttpServerCounters::requests);
    count("lycheefield_http_rejected_total{why=\"malformed\"}", &HttpServerCounters::malformed);
    count("lycheefield_http_rejected_total{why=\"oversized\"}", &HttpServerCounters::oversized);
    count("lycheefield_http_rejected_total{why=\"slow\"}", &HttpServerCounters::slow);
    count("lycheefield_http_rejected_total{why=\"too many connections\"}", &HttpServerCounters::overConnectionLimit);
    count("lycheefield_http_callers_gone_total", &HttpServerCounters::disconnectedCallers);
}

void registerWireMetrics(Metrics& metrics, std::shared_ptr<const WireCounters> counters)
{
    using Member = std::atomic<std::uint64_t> WireCounters::*;
    const auto count = [&](const char* name, Member member) {
        metrics.count(name, [counters, member] { return ((*counters).*member).load(); });
    };
    count("lycheefield_wire_frames_total{direction=\"in\"}", &WireCounters::framesIn);
    count("lycheefield_wire_frames_total{direction=\"out\"}", &WireCounters::framesOut);
    count("lycheefield_wire_bytes_total{direction=\"in\"}", &WireCounters::bytesIn);
    count("lycheefield_wire_bytes_total{direction=\"out\"}", &WireCounters::bytesOut);
    count("lycheefield_wire_rejected_total{why=\"bad frame\"}", &WireCounters::badFrames);
    count("lycheefield_wire_rejected_total{why=\"timeout\"}", &WireCounters::timeouts);
    count("lycheefield_wire_rejected_total{why=\"queue full\"}", &WireCounters::overflows);
    count("lycheefield_wire_skipped_frames_total", &WireCounters::skippedFrames);
}

void registerProcessMetrics(Metrics& metrics)
{
    metrics.gauge("process_cpu_seconds_total", processorSeconds);
    metrics.gauge("process_resident_memory_bytes", residentBytes);
}

}
