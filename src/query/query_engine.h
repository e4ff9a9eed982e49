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

/// A request as received from a caller.
struct CallerRequest {
    RequestId id;
    std::string path; ///< Selects the rule.
    std::shared_ptr<const std::string> body;
    std::string record; ///< For a record or an order: the key that selects the shard.
    std::string traceparent;
    TimePoint deadline = never; ///< The caller's deadline; the earlier one of this and the rule's applies.
};

/// Monotonic counters, for /metrics and for tests.
struct QueryCounters {
    std::uint64_t requests = 0;
    std::uint64_t firstLegs = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t cancels = 0;
    std::uint64_t strayResults = 0; ///< Late, duplicate and foreign leg results, dropped.
    std::uint64_t reroutes = 0; ///< Legs sent again after a pause because no relay held their servers.
    std::uint64_t restarts = 0; ///< Queries restarted on newer tables.
    std::uint64_t completeAnswers = 0;
    std::uint64_t partialAnswers = 0;
    std::uint64_t refusals = 0;
    std::uint64_t canaries = 0; ///< Legs sent alone, before the other legs of their query.
    std::uint64_t crashes = 0; ///< Legs lost because their server crashed.
    std::uint64_t quarantined = 0; ///< Requests refused because their content is quarantined.
    std::uint64_t notAdmitted = 0; ///< Requests refused because their servers were too busy to process them in time.
    std::uint64_t shedLegs = 0; ///< Legs shed from searches under overload.
    std::uint64_t mixedVersions = 0; ///< Results of another version or epoch than requested, discarded.

    /// Adds each counter; the counters of an instance are the sums over its engines.
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

/// The decision logic of the entry role: plans requests, chooses replicas, hedges, retries and merges results.
///
/// The engine does no I/O. Each call takes the current time and appends the actions that the calling
/// code must execute. Not thread safe: an instance runs several engines, each on its own strand.
class QueryEngine {
public:
    virtual ~QueryEngine() = default;

    /// Starts a request. Precondition: the id has not been used before.
    virtual void start(const CallerRequest&, const QueryTables&, TimePoint, QueryActions&) = 0;
    /// Handles the result of one leg from a relay, awaited or not.
    virtual void onLegResult(const LegResult&, TimePoint, QueryActions&) = 0;
    /// Handles a broken connection to a relay: each open attempt sent to the relay ends as lost.
    virtual void onRelayDisconnected(const InstanceName&, TimePoint, QueryActions&) = 0;
    /// Cancels a request whose caller disconnected or asked for it. No DeliverAnswer follows for a disconnected caller.
    virtual void cancel(const RequestId&, bool callerDisconnected, TimePoint, QueryActions&) = 0;
    /// Records a server's state (drain, versions, load) that a relay reported outside of a leg result.
    virtual void onServerState(const ServerState&, TimePoint) = 0;
    /// Handles a relay's announcement about content that crashed a server. Must reach all engines of all instances.
    virtual void onCrashAnnounced(const CrashNews&, TimePoint, QueryActions&) = 0;
    /// Handles the queries that are due. Must be called no later than nextWake().
    virtual void onTimer(TimePoint, QueryActions&) = 0;
    /// Returns when onTimer must run next; `never` when no query is in flight.
    virtual TimePoint nextWake() const = 0;

    virtual std::size_t inFlight() const = 0;
    virtual QueryCounters counters() const = 0;
};

/// Creates an engine with the policies that the settings enable. Without a table source, a query
/// that restarts keeps the tables of its first start. Without budgets the engine creates its own;
/// the engines of one instance should share theirs.
std::unique_ptr<QueryEngine> makeQueryEngine(
    const QuerySettings&, const InstanceName& self, const ZoneName&, std::unique_ptr<RandomSource>, std::shared_ptr<const TableSource> = nullptr,
    std::shared_ptr<RuleBudgets> = nullptr);

}
