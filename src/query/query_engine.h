#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "query/crash_news.h"
#include "query/query_action.h"
#include "query/query_settings.h"
#include "query/query_tables.h"
#include "query/table_source.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lycheefield {

class RuleBudgets;

/// A request as it came from a caller, already matched to a rule.
struct CallerRequest {
    RequestId id;
    std::string path; ///< Chooses the rule.
    std::shared_ptr<const std::string> body;
    std::string record; ///< For a record or an order: the key that chooses the shard.
    std::string traceparent;
    TimePoint deadline = never; ///< The caller's own; the rule's applies when it is sooner.
};

/// Counters that only grow, for /metrics and for tests.
struct QueryCounters {
    std::uint64_t requests = 0;
    std::uint64_t firstLegs = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t cancels = 0;
    std::uint64_t strayResults = 0; ///< Late, duplicate and foreign answers, dropped.
    std::uint64_t reroutes = 0; ///< Legs sent again because their relay did not hold the server.
    std::uint64_t restarts = 0; ///< Queries started again on a newer index version.
    std::uint64_t completeAnswers = 0;
    std::uint64_t partialAnswers = 0;
    std::uint64_t refusals = 0;
    std::uint64_t canaries = 0; ///< Legs sent alone ahead of the others.
    std::uint64_t crashes = 0; ///< Legs that died with their server.
    std::uint64_t quarantined = 0; ///< Requests refused for their content.
    std::uint64_t notAdmitted = 0; ///< Requests refused because they could not be done in time.
    std::uint64_t shedLegs = 0; ///< Legs left out of searches under overload.
    std::uint64_t mixedVersions = 0; ///< Answers of another version or epoch than asked for, not used.

    /// Adds each counter: those of an instance are the sums over its engines.
    QueryCounters& operator+=(const QueryCounters& other)
    {
        requests += other.requests;
        firstLegs += other.firstLegs;
        hedges += other.hedges;
        retries += other.retries;
        cancels += other.cancels;
        strayResults += other.strayResults;
        reroutes += other.reroutes;
        restarts += other.restarts;
        completeAnswers += other.completeAnswers;
        partialAnswers += other.partialAnswers;
        refusals += other.refusals;
        canaries += other.canaries;
        crashes += other.crashes;
        quarantined += other.quarantined;
        notAdmitted += other.notAdmitted;
        shedLegs += other.shedLegs;
        mixedVersions += other.mixedVersions;
        return *this;
    }
    friend bool operator==(const QueryCounters&, const QueryCounters&) = default;
};

/// The decisions of the entry role: plans each request, chooses replicas, hedges, retries, merges.
///
/// It does no I/O. Every call takes the time and appends to the actions that the caller must
/// carry out. Not thread safe: an instance runs several engines, each on its own strand.
class QueryEngine {
public:
    virtual ~QueryEngine() = default;

    /// Starts a request. Precondition: the id was never used before.
    virtual void start(const CallerRequest&, const QueryTables&, TimePoint, QueryActions&) = 0;
    /// One answer from a relay, whether awaited or not.
    virtual void onLegResult(const LegResult&, TimePoint, QueryActions&) = 0;
    /// The connection to a relay broke: every leg that it had and that is not answered is lost.
    virtual void onRelayLost(const InstanceName&, TimePoint, QueryActions&) = 0;
    /// The caller went away or asked to cancel. No DeliverAnswer follows when the caller is gone.
    virtual void cancel(const RequestId&, bool callerDisconnected, TimePoint, QueryActions&) = 0;
    /// What a relay told about a server outside of an answer: drain, versions, load.
    virtual void onServerState(const ServerState&, TimePoint) = 0;
    /// A relay's news about content that crashed a server. Every engine of every instance must hear it.
    virtual void onCrashNews(const CrashNews&, TimePoint, QueryActions&) = 0;
    /// Runs what has come due. Call it no later than nextWake().
    virtual void onTimer(TimePoint, QueryActions&) = 0;
    /// When onTimer must run next; `never` when nothing waits.
    virtual TimePoint nextWake() const = 0;

    virtual std::size_t inFlight() const = 0;
    virtual QueryCounters counters() const = 0;
};

/// Builds the engine that the settings ask for: all policies, or the plain baseline. Without a
/// source of newer tables a query that has to start again uses those that it started with. Without
/// budgets the engine has its own; the engines of one instance should share theirs.
std::unique_ptr<QueryEngine> makeQueryEngine(
    const QuerySettings&, const InstanceName& self, const ZoneName&, std::unique_ptr<RandomSource>, std::shared_ptr<const TableSource> = nullptr,
    std::shared_ptr<RuleBudgets> = nullptr);

}
