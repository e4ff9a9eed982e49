#include "gateway/forward_counters_metrics.h"

#include <cstdint>
#include <string>

namespace lycheefield {

void registerForwardCounters(Metrics& metrics, const ForwardCounters& counters)
{
    const auto count = [&metrics](const std::string& name, const std::uint64_t& value) {
        metrics.count("lycheefield_" + name, [&value] { return value; });
    };
    count("requests_total", counters.requests);
    count("sends_total{kind=\"first\"}", counters.firstAttempts);
    count("sends_total{kind=\"hedge\"}", counters.hedges);
    count("sends_total{kind=\"retry\"}", counters.retries);
    count("sends_to_other_zones_total", counters.attemptsInOtherZones);
    count("legs_relayed_total", counters.delegatedLegs);
    count("legs_shed_total", counters.shedLegs);
    count("legs_over_server_limit_total", counters.limitedLegs);
    count("requests_over_server_limit_total", counters.limitedRequests);
    count("requests_refused_early_total", counters.refusedEarly);
    count("sends_denied_total", counters.extraAttemptsDenied);
    count("answers_total{outcome=\"complete\"}", counters.complete);
    count("answers_total{outcome=\"partial\"}", counters.partial);
    count("answers_total{outcome=\"passed_through\"}", counters.passedThrough);
    count("answers_total{outcome=\"not_run\"}", counters.refused);
    count("answers_total{outcome=\"failed\"}", counters.failed);
    count("answers_total{outcome=\"timed_out\"}", counters.timedOut);
    count("answers_late_total", counters.lateAnswers);
    count("callers_gone_total", counters.disconnectedCallers);
}

}
