#include "query/standard_query_engine.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// How often a query with late legs checks whether other queries have earned hedges.
constexpr Duration hedgeTokenRetryInterval = 20ms;
/// Attempts of one leg that no relay held. With the pauses they span about 2 s, enough for the views to agree.
constexpr std::size_t maxNotHeldAttempts = 60;

ShardAnswer shardAnswerOf(const Shard& shard, const LegResult& result, bool mustCoverBatches)
{
    ShardAnswer answer { shard.number, result.batches, result.body, {} };
    if (!mustCoverBatches || shard.batches == result.batches)
        return answer;
    for (const auto& it : shard.batches) {
        if (std::find(result.batches.begin(), result.batches.end(), it) == result.batches.end())
            answer.missingBatches.push_back(it);
    }
    return answer;
}

}

RuleBudget& StandardQueryEngine::budgetOf(const Rule& rule)
{
    auto& budget = m_budgets[rule.name];
    if (!budget)
        budget = m_sharedBudgets->of(rule.name);
    return *budget;
}

void StandardQueryEngine::sendAttempt(Query& query, std::size_t leg, const ReplicaChoice& choice, bool isHedge, TimePoint now, WorkBatch& batch)
{
    auto& state = query.legs[leg];
    Attempt attempt;
    attempt.number = AttemptNumber(query.attemptBase + static_cast<std::uint32_t>(state.attempts.size()));
    attempt.server = choice.server;
    attempt.relay = choice.relay;
    attempt.legClass = &m_hedges.classOf(query.rule->service, *choice.zone);
    attempt.sentAt = now;
    attempt.sequence = m_evidence.nextSequence();
    attempt.isHedge = isHedge;
    query.hedgeCheckAt = {};
    ++choice.server->outstanding.at(query.rule->priority);
    const LegNumber number(static_cast<std::uint32_t>(leg));
    batch.add(choice.relay, { number, attempt.number, state.shard->number, choice.server->name, isHedge });
    state.attempts.push_back(std::move(attempt));
}

void StandardQueryEngine::sendFirstAttempt(Query& query, std::size_t leg, const ReplicaChoice& choice, TimePoint now, WorkBatch& batch)
{
    sendAttempt(query, leg, choice, false, now, batch);
    ++m_counters.firstLegs;
    // Legs of a restart are extra work and earn no budget.
    if (query.starts == 1)
        query.budget->earnLeg(*query.rule, query.legs.size());
}

LegOutcome StandardQueryEngine::checkedOutcome(const Query& query, const LegResult& result)
{
    // An order that ran counts whatever its version: with a single leg no versions can mix.
    if (result.outcome != LegOutcome::Ok || query.rule->kind == RequestKind::Order)
        return result.outcome;
    if (result.version == query.version && result.epoch == query.service->epoch)
        return LegOutcome::Ok;
    ++m_counters.mixedVersions;
    return result.epoch == query.service->epoch ? LegOutcome::VersionGone : LegOutcome::ShardMoved;
}

void StandardQueryEngine::endAttempt(Query& query, LegState& leg, Attempt& attempt, const LegResult& result, TimePoint now, QueryActions& actions)
{
    attempt.isOpen = false;
    --attempt.server->outstanding.at(query.rule->priority);
    query.ran = query.ran || result.outcome == LegOutcome::Ok || result.outcome == LegOutcome::Failed;
    query.mayHaveRun = query.mayHaveRun || !provesNotRun(result.outcome);
    query.retryAfter = std::max(query.retryAfter, result.retryAfter);
    if (result.outcome == LegOutcome::Ok && !m_evidence.isEmpty())
        m_evidence.recordAnswer(attempt.server->name, attempt.sentAt);
    if (result.outcome == LegOutcome::NotHeld)
        attempt.notHeldAt = now;
    else if (result.outcome != LegOutcome::Lost || result.crashed)
        m_disconnectedRelays.markReachable(attempt.relay);
    if (result.crashed)
        recordCrash(query, leg, attempt, now, actions);
    const auto outcome = checkedOutcome(query, result);
    if (outcome == LegOutcome::Ok) {
        m_hedges.recordLatency(*attempt.legClass, now - attempt.sentAt);
        attempt.server->recordLatency(now - attempt.sentAt);
        return acceptAnswer(query, leg, result, now, actions);
    }
    if (query.budget && (outcome == LegOutcome::Refused || outcome == LegOutcome::Expired))
        query.budget->recordRefusal();
    if (outcome == LegOutcome::VersionGone || outcome == LegOutcome::ShardMoved)
        leg.replicasLackingSnapshot.push_back(attempt.server);
    retryOrCloseLeg(query, leg, outcome, result.detail, now, actions);
}

void StandardQueryEngine::retryOrCloseLeg(Query& query, LegState& leg, LegOutcome outcome, const std::string& detail, TimePoint now, QueryActions& actions)
{
    leg.lastOutcome = outcome;
    if (leg.hasOpenAttempt())
        return;
    const bool lacksSnapshot = outcome == LegOutcome::VersionGone || outcome == LegOutcome::ShardMoved;
    if (leg.notHeldCount() > 0)
        refreshOwnership(query);
    auto choice = m_replicas.choose(query, leg, false, now);
    // The server of a lost relay may be alive: another attempt goes through the standby, unless the request must run only once.
    if (!choice.server && outcome == LegOutcome::Lost && query.rule->kind != RequestKind::Order)
        choice = m_replicas.choose(query, leg, true, now);
    if (choice.server && mayRetry(query, outcome, now)) {
        WorkBatch batch;
        sendAttempt(query, static_cast<std::size_t>(&leg - query.legs.data()), choice, false, now, batch);
        ++m_counters.retries;
        logDecision(query, "leg " + std::to_string(&leg - query.legs.data()) + " ended as " + std::string(toString(outcome)) + ", retried at " + choice.server->name.value(), actions);
        return batch.flush(query, m_self, actions);
    }
    if (mayReroute(query, leg, now)) {
        query.rerouteAt = std::min(query.rerouteAt, now + leg.reroutePause());
        return;
    }
    if (lacksSnapshot && !choice.server && mayRestart(query, now))
        return restart(query, outcome, now, actions);
    closeLeg(query, leg, std::string(toString(outcome)) + (detail.empty() ? "" : ": " + detail));
}

bool StandardQueryEngine::mayRetry(Query& query, LegOutcome outcome, TimePoint now)
{
    const bool isOver = now >= query.deadline || query.giveUpAt != never;
    if (!m_settings.retryRefusals || query.isSuspect || isOver || outcome == LegOutcome::Quarantined)
        return false;
    if (query.mustNotRunAgain())
        return false;
    // A server without the version did no work, and each replica gets one attempt: no budget is needed.
    // A relay that does not hold the server sent it nothing.
    if (outcome == LegOutcome::VersionGone || outcome == LegOutcome::ShardMoved || outcome == LegOutcome::NotHeld)
        return true;
    return query.budget->spendRetry();
}

bool StandardQueryEngine::mayReroute(const Query& query, const LegState& leg, TimePoint now) const
{
    // After an attempt that reached a server, the next one is a retry and needs budget.
    if (leg.lastOutcome != LegOutcome::NotHeld || leg.notHeldCount() > maxNotHeldAttempts || query.isSuspect || !m_settings.retryRefusals)
        return false;
    if (query.mustNotRunAgain())
        return false;
    return now + leg.reroutePause() < query.deadline;
}

void StandardQueryEngine::refreshOwnership(Query& query) const
{
    if (m_source)
        query.tables.ownership = m_source->newest().ownership;
}

void StandardQueryEngine::reroute(Query& query, TimePoint now, QueryActions& actions)
{
    query.rerouteAt = never;
    refreshOwnership(query);
    WorkBatch batch;
    for (std::size_t i = 0; i < query.legs.size(); ++i) {
        auto& leg = query.legs[i];
        if (!leg.isOpen || leg.hasOpenAttempt() || leg.lastOutcome != LegOutcome::NotHeld)
            continue;
        const auto choice = m_replicas.choose(query, leg, false, now);
        if (choice.server) {
            sendAttempt(query, i, choice, false, now, batch);
            ++m_counters.reroutes;
            logDecision(query, "leg " + std::to_string(i) + " reached no relay that holds its server, sent again through relay " + choice.relay.value(), actions);
        } else if (mayReroute(query, leg, now)) {
            query.rerouteAt = std::min(query.rerouteAt, now + leg.reroutePause());
        } else {
            closeLeg(query, leg, std::string(toString(LegOutcome::NotHeld)));
        }
    }
    batch.flush(query, m_self, actions);
}

void StandardQueryEngine::hedgeLateLegs(Query& query, TimePoint now, QueryActions& actions)
{
    // With an unchanged multiple, legs only end, so none becomes late before the time computed last.
    const auto hedgeDelayMultiple = m_hedges.hedgeDelayMultiple(query);
    if (now < query.hedgeCheckAt && hedgeDelayMultiple == query.hedgeDelayMultiple)
        return;
    query.hedgeDelayMultiple = hedgeDelayMultiple;
    bool wantsTokens = false;
    WorkBatch batch;
    for (const auto leg : m_hedges.lateLegs(query, now)) {
        if (!query.budget->canHedge()) {
            wantsTokens = true;
            break;
        }
        const auto& state = query.legs[leg];
        const auto choice = m_replicas.choose(query, state, state.attempts.size() > 1, now);
        if (!choice.server)
            continue;
        // Another engine of the instance may have taken the last token in the meantime.
        if (!query.budget->spendHedge()) {
            wantsTokens = true;
            break;
        }
        sendAttempt(query, leg, choice, true, now, batch);
        ++m_counters.hedges;
        logDecision(query, "leg " + std::to_string(leg) + " exceeded its hedge delay, hedged at " + choice.server->name.value(), actions);
    }
    query.hedgeCheckAt = m_hedges.nextLate(query, now);
    if (wantsTokens)
        query.hedgeCheckAt = std::min(query.hedgeCheckAt, now + hedgeTokenRetryInterval);
    batch.flush(query, m_self, actions);
}

void StandardQueryEngine::acceptAnswer(Query& query, LegState& leg, const LegResult& result, TimePoint now, QueryActions& actions)
{
    leg.answer = shardAnswerOf(*leg.shard, result, query.rule->kind == RequestKind::Search);
    leg.isOpen = false;
    --query.openLegs;
    ++query.covered;
    query.budget->earnAnswer(*query.rule);
    cancelOpenAttempts(query, static_cast<std::size_t>(&leg - query.legs.data()), now, actions);
}

void StandardQueryEngine::closeLeg(Query& query, LegState& leg, std::string reason)
{
    leg.isOpen = false;
    leg.reason = std::move(reason);
    --query.openLegs;
}

void StandardQueryEngine::cancelOpenAttempts(Query& query, std::size_t leg, TimePoint now, QueryActions& actions)
{
    for (auto& it : query.legs[leg].attempts) {
        if (!it.isOpen)
            continue;
        it.isOpen = false;
        --it.server->outstanding.at(query.rule->priority);
        query.mayHaveRun = true;
        recordCancelledAttempt(it, now);
        ++m_counters.cancels;
        actions.emplace_back(CancelAttempt { it.relay, { query.request.id, LegNumber(static_cast<std::uint32_t>(leg)), it.number } });
    }
}

void StandardQueryEngine::recordCancelledAttempt(const Attempt& attempt, TimePoint now)
{
    const auto elapsed = now - attempt.sentAt;
    if (elapsed <= m_hedges.hedgeDelayOf(*attempt.legClass))
        return;
    m_hedges.recordLatency(*attempt.legClass, elapsed);
    attempt.server->recordLatency(elapsed);
}

}
