#pragma once

#include "query/crash_evidence.h"
#include "query/disconnected_relays.h"
#include "query/hedge_planner.h"
#include "query/query.h"
#include "query/query_engine.h"
#include "query/replica_chooser.h"
#include "query/rule_budgets.h"
#include "query/server_table.h"
#include "query/work_batch.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace lycheefield {

/// The engine that makeQueryEngine returns.
class StandardQueryEngine final : public QueryEngine {
public:
    StandardQueryEngine(const QuerySettings&, InstanceName self, const ZoneName&, std::unique_ptr<RandomSource>, std::shared_ptr<const TableSource>, std::shared_ptr<RuleBudgets>);

    void start(const CallerRequest&, const QueryTables&, TimePoint, QueryActions&) override;
    void onLegResult(const LegResult&, TimePoint, QueryActions&) override;
    void onRelayDisconnected(const InstanceName&, TimePoint, QueryActions&) override;
    void cancel(const RequestId&, bool callerDisconnected, TimePoint, QueryActions&) override;
    void onServerState(const ServerState&, TimePoint) override;
    void onCrashAnnounced(const CrashNews&, TimePoint, QueryActions&) override;
    void onTimer(TimePoint, QueryActions&) override;
    TimePoint nextWake() const override;
    std::size_t inFlight() const override { return m_queries.size(); }
    QueryCounters counters() const override { return m_counters; }

private:
    // Planning: from tables to the first legs, and again when the snapshot is no longer served.
    void plan(Query&, TimePoint, QueryActions&);
    std::vector<const Shard*> shardsOf(const Query&) const;
    void awaitTables(Query&, TimePoint);
    bool mayRestart(const Query&, TimePoint) const;
    void restart(Query&, LegOutcome, TimePoint, QueryActions&);
    /// Sends all legs that are held or new. Returns false when the query was refused instead.
    bool sendHeldLegs(Query&, TimePoint, QueryActions&);
    /// Returns by how much the legs would miss the deadline; zero when enough of them can meet it.
    Duration latenessOf(const Query&, const std::vector<ReplicaChoice>&, TimePoint) const;

    /// Under overload sheds legs that the rule can spare, longest wait first. Returns false when the query was
    /// refused instead, because higher priorities wait at its servers. Choices without a server are legs not to be sent.
    bool shedLegs(Query&, const std::vector<ReplicaChoice>&, TimePoint, QueryActions&);

    // Canary: one leg sent before the others.
    bool needsCanary(const Query&) const;
    bool sendCanary(Query&, TimePoint, QueryActions&);
    /// Continues the query once the canary has ended. Returns false when the answer was delivered.
    bool advanceCanary(Query&, TimePoint, QueryActions&);
    void refuseSuspect(Query&, TimePoint, QueryActions&);
    void recordCrash(Query&, LegState&, const Attempt&, TimePoint, QueryActions&);

    // Attempts.
    RuleBudget& budgetOf(const Rule&);
    void sendAttempt(Query&, std::size_t leg, const ReplicaChoice&, bool isHedge, TimePoint, WorkBatch&);
    void sendFirstAttempt(Query&, std::size_t leg, const ReplicaChoice&, TimePoint, WorkBatch&);
    void endAttempt(Query&, LegState&, Attempt&, const LegResult&, TimePoint, QueryActions&);
    LegOutcome checkedOutcome(const Query&, const LegResult&);
    void retryOrCloseLeg(Query&, LegState&, LegOutcome, const std::string& detail, TimePoint, QueryActions&);
    bool mayRetry(Query&, LegOutcome, TimePoint);
    /// Returns true when the leg may wait for the instances' views to agree on who holds its servers.
    bool mayReroute(const Query&, const LegState&, TimePoint) const;
    /// Sends legs whose servers no relay held through the relays that hold them now.
    void reroute(Query&, TimePoint, QueryActions&);
    void refreshOwnership(Query&) const;
    void hedgeLateLegs(Query&, TimePoint, QueryActions&);
    void closeLeg(Query&, LegState&, std::string reason);
    void acceptAnswer(Query&, LegState&, const LegResult&, TimePoint, QueryActions&);
    void cancelOpenAttempts(Query&, std::size_t leg, TimePoint, QueryActions&);
    /// Records the latency so far of an attempt that is cancelled, if the attempt was late.
    void recordCancelledAttempt(const Attempt&, TimePoint);

    /// Delivers the answer if it is due, which removes the query. Otherwise hedges late legs and sets the timer.
    void deliverOrContinue(Query&, TimePoint, QueryActions&);
    /// Returns true when the search can't reach its minimum coverage and awaiting its other legs is useless:
    /// their results would not be delivered.
    bool mustGiveUp(Query&, TimePoint) const;
    void deliver(Query&, std::optional<Error> refusal, TimePoint, QueryActions&);
    void endQuery(Query&, TimePoint, QueryActions&);
    void schedule(Query&, TimePoint);
    void logDecision(const Query&, std::string text, QueryActions&) const;

    QuerySettings m_settings;
    InstanceName m_self;
    std::unique_ptr<RandomSource> m_random;
    std::shared_ptr<const TableSource> m_source; ///< When null, a query keeps the tables that it started with.
    ServerTable m_servers;
    DisconnectedRelays m_disconnectedRelays;
    CrashEvidence m_evidence;
    ReplicaChooser m_replicas;
    HedgePlanner m_hedges;
    std::shared_ptr<RuleBudgets> m_sharedBudgets;
    std::map<std::string, std::shared_ptr<RuleBudget>> m_budgets; ///< Budgets of the rules seen so far, by rule name.
    std::unordered_map<RequestId, std::unique_ptr<Query>> m_queries;
    std::set<std::pair<TimePoint, RequestId>> m_due;
    QueryCounters m_counters;
};

}
