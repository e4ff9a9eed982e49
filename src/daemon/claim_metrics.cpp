#include "daemon/claim_metrics.h"

#include "daemon/claims_role.h"
#include "observe/metrics.h"
#include "platform/platform_client.h"

namespace lycheefield {

namespace {

template <typename Source, typename Counters, typename Member>
void addGauge(Metrics& metrics, const std::string& name, const Source& source, Counters (Source::*read)() const, Member Counters::*member)
{
    metrics.gauge(name, [&source, read, member] { return static_cast<double>((source.*read)().*member); });
}

}

void addClaimMetrics(Metrics& metrics, const ClaimsRole& role)
{
    const auto claims = [&](const std::string& name, std::uint64_t ClaimCounters::*member) {
        addGauge(metrics, "lycheefield_claim" + name, role, &ClaimsRole::counters, member);
    };
    claims("s_total{verdict=\"granted\"}", &ClaimCounters::granted);
    claims("s_total{verdict=\"already done\"}", &ClaimCounters::alreadyDone);
    claims("s_total{verdict=\"in progress\"}", &ClaimCounters::inProgress);
    claims("s_total{verdict=\"different content\"}", &ClaimCounters::differentContent);
    claims("s_total{verdict=\"store unavailable\"}", &ClaimCounters::storeUnavailable);
    claims("_store_calls_total{call=\"read\"}", &ClaimCounters::storeReads);
    claims("_store_calls_total{call=\"write\"}", &ClaimCounters::storeWrites);
    claims("_conflicts_total", &ClaimCounters::conflicts);
    claims("_lost_answers_total", &ClaimCounters::lostResponses);
    claims("_segments_total{event=\"sealed\"}", &ClaimCounters::segmentsSealed);
    claims("_segments_total{event=\"expired\"}", &ClaimCounters::segmentsExpired);
    claims("_unreadable_objects_total", &ClaimCounters::unreadableObjects);
    claims("_indexed_keys", &ClaimCounters::indexedKeys);
    metrics.gauge("lycheefield_claims_pending", [&role] { return static_cast<double>(role.pending()); });
    const auto forwards = [&](const std::string& event, std::uint64_t ClaimForwardCounters::*member) {
        addGauge(metrics, "lycheefield_claim_forwards_total{event=\"" + event + "\"}", role, &ClaimsRole::forwardCounters, member);
    };
    forwards("asked", &ClaimForwardCounters::forwarded);
    forwards("undelivered", &ClaimForwardCounters::undelivered);
    forwards("unanswered", &ClaimForwardCounters::unanswered);
    forwards("granted late", &ClaimForwardCounters::lateGrants);
}

void addPlatformMetrics(Metrics& metrics, const PlatformClient& client)
{
    const auto calls = [&](const std::string& name, std::uint64_t PlatformCounters::*member) {
        addGauge(metrics, "lycheefield_platform_" + name, client, &PlatformClient::counters, member);
    };
    calls("calls_total{call=\"read\"}", &PlatformCounters::reads);
    calls("calls_total{call=\"write\"}", &PlatformCounters::writes);
    calls("calls_total{call=\"list\"}", &PlatformCounters::lists);
    calls("calls_total{call=\"watch\"}", &PlatformCounters::watches);
    calls("calls_total{call=\"instances\"}", &PlatformCounters::instanceCalls);
    calls("refused_total{by=\"budget\"}", &PlatformCounters::refusedByBudget);
    calls("refused_total{by=\"pause\"}", &PlatformCounters::refusedByPause);
    calls("failures_total{status=\"unavailable\"}", &PlatformCounters::unavailable);
    calls("failures_total{status=\"lost\"}", &PlatformCounters::lost);
    calls("bytes_total{direction=\"sent\"}", &PlatformCounters::bytesSent);
    calls("bytes_total{direction=\"received\"}", &PlatformCounters::bytesReceived);
}

}
