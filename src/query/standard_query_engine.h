#pragma once

#include "query/hedge_planner.h"
#include "query/query.h"
#include "query/query_engine.h"
#include "query/replica_chooser.h"
#include "query/server_table.h"
#include "query/work_batch.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace lycheefield {

/// The engine behind makeQueryEngine.
class StandardQueryEngine final : public QueryEngine {
public:
    StandardQueryEngine(const QuerySettings&, InstanceName self, const ZoneName&, std::unique_ptr<RandomSource>);

    void start(const CallerRequest&, const QueryTables&, TimePoint, QueryActions&) override;
    void onLegResult(const LegResult&, TimePoint, QueryActions&) override;
    void onRelayLost(const InstanceName&, TimePoint, QueryActions&) override;
    void cancel(const RequestId&, bool callerIsGone, TimePoint, QueryActions&) override;
    void onServerState(const ServerState&, TimePoint) override;
    void onTimer(TimePoint, QueryActions&) override;
    TimePoint nextWake() const override;
    std::size_t inFlight() const override { return m_queries.size(); }
    QueryCounters counters() const override { return m_counters; }

private:
    void plan(Query&, TimePoint, QueryActions&);
    std::vector<const Shard*> shardsOf(const Query&) const;
    bool sendAttempt(Query&, std::size_t leg, bool isHedge, TimePoint, WorkBatch&);
    void endAttempt(Query&, LegState&, Attempt&, const LegResult&, TimePoint, QueryActions&);
    bool mayRetry(Query&, LegOutcome, TimePoint);
    /// Learns from an attempt that was cancelled because another was faster.
    void noteLoser(const Attempt&, TimePoint);
    void hedgeLateLegs(Query&, TimePoint, QueryActions&);
    void endUnanswered(Query&, LegState&, LegOutcome, const std::string& detail, TimePoint, QueryActions&);
    void closeLeg(Query&, LegState&, std::string reason);
    void takeAnswer(Query&, LegState&, const LegResult&, TimePoint, QueryActions&);
    void cancelOpenAttempts(Query&, std::size_t leg, TimePoint, QueryActions&);
    /// Delivers the answer when it is time to; the query is gone then.
    void settle(Query&, TimePoint, QueryActions&);
    void deliver(Query&, std::optional<Error> refusal, TimePoint, QueryActions&);
    void forget(Query&, TimePoint, QueryActions&);
    void schedule(Query&, TimePoint);

    QuerySettings m_settings;
    InstanceName m_self;
    std::unique_ptr<RandomSource> m_random;
    ServerTable m_servers;
    ReplicaChooser m_replicas;
    HedgePlanner m_hedges;
    std::map<std::string, RuleBudget> m_budgets; ///< By the rule's name, so that a new revision inherits them.
    std::unordered_map<RequestId, std::unique_ptr<Query>> m_queries;
    std::set<std::pair<TimePoint, RequestId>> m_due;
    QueryCounters m_counters;
};

}
