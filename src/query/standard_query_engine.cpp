#include "query/standard_query_engine.h"

#include "base/fingerprint.h"
#include "query/answer_builder.h"
#include "query/snapshot_chooser.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// How long a query with late legs waits for other queries to earn hedges.
constexpr Duration waitForTokens = 20ms;

}

StandardQueryEngine::StandardQueryEngine(const QuerySettings& settings, InstanceName self, const ZoneName& zone, std::unique_ptr<RandomSource> random)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_random(std::move(random))
    , m_replicas(m_settings, zone, m_servers, *m_random)
    , m_hedges(m_settings, zone)
{
}

void StandardQueryEngine::start(const CallerRequest& request, const QueryTables& tables, TimePoint now, QueryActions& actions)
{
    ++m_counters.requests;
    auto& query = *m_queries.emplace(request.id, std::make_unique<Query>()).first->second;
    query.request = request;
    query.tables = tables;
    query.rule = tables.rules->match(request.path);
    if (!query.rule)
        return deliver(query, Error { ErrorKind::NotFound, "no rule matches the path " + request.path, "ask the operators for a rule" }, now, actions);
    query.deadline = std::min(request.deadline, now + query.rule->deadline);
    if (query.deadline <= now)
        return deliver(query, Error { ErrorKind::DeadlineExceeded, "the deadline had passed on arrival", "allow more time" }, now, actions);
    if (query.rule->preference == AnswerPreference::Tail && query.rule->softDeadline.count() > 0)
        query.softDeadline = now + query.rule->softDeadline;
    query.fingerprint = fingerprintOf(query.rule->service, request.body ? std::string_view(*request.body) : std::string_view());
    query.budget = &m_budgets[query.rule->name];
    query.mayHedge = query.rule->kind != RequestKind::Order;
    plan(query, now, actions);
}

std::vector<const Shard*> StandardQueryEngine::shardsOf(const Query& query) const
{
    std::vector<const Shard*> shards;
    const auto& all = query.service->shards;
    if (query.rule->kind == RequestKind::Search) {
        for (const auto& it : all)
            shards.push_back(&it);
    } else if (!all.empty()) {
        shards.push_back(&all[stableHash(query.request.record) % all.size()]);
    }
    return shards;
}

void StandardQueryEngine::plan(Query& query, TimePoint now, QueryActions& actions)
{
    query.service = query.tables.shards->findService(query.rule->service);
    const auto shards = query.service ? shardsOf(query) : std::vector<const Shard*>();
    if (shards.empty())
        return deliver(query, Error { ErrorKind::Unavailable, "the catalogue has no shards of " + query.rule->service.value(), "check the rule's service" }, now, actions);
    const auto version = SnapshotChooser(*query.tables.shards, m_servers).choose(shards);
    if (!version)
        return deliver(query, Error { ErrorKind::Unavailable, "no index version is served by every shard", "send it again" }, now, actions);
    query.version = *version;
    query.legs.resize(shards.size());
    query.openLegs = shards.size();
    for (std::size_t i = 0; i < shards.size(); ++i)
        query.legs[i].shard = shards[i];
    WorkBatch batch;
    for (std::size_t i = 0; i < shards.size(); ++i) {
        if (sendAttempt(query, i, false, now, batch))
            ++m_counters.firstLegs;
        else
            closeLeg(query, query.legs[i], "no instance owns a usable replica");
    }
    query.budget->earn(*query.rule, query.openLegs);
    batch.flush(query, m_self, actions);
    settle(query, now, actions);
}

bool StandardQueryEngine::sendAttempt(Query& query, std::size_t leg, bool isHedge, TimePoint now, WorkBatch& batch)
{
    auto& state = query.legs[leg];
    const auto choice = m_replicas.choose(query, state, isHedge && state.attempts.size() > 1);
    if (!choice.server)
        return false;
    Attempt attempt;
    attempt.number = AttemptNumber(query.attemptBase + static_cast<std::uint32_t>(state.attempts.size()));
    attempt.server = choice.server;
    attempt.relay = choice.relay;
    attempt.legClass = &m_hedges.classOf(query.rule->service, *choice.zone);
    attempt.sentAt = now;
    attempt.isHedge = isHedge;
    query.hedgeCheckAt = {};
    ++choice.server->outstanding;
    const LegNumber number(static_cast<std::uint32_t>(leg));
    batch.add(choice.relay, { number, attempt.number, state.shard->number, choice.server->name, isHedge });
    state.attempts.push_back(std::move(attempt));
    return true;
}

void StandardQueryEngine::onLegResult(const LegResult& result, TimePoint now, QueryActions& actions)
{
    m_servers.note(result.state, now);
    const auto it = m_queries.find(result.key.request);
    const auto leg = result.key.leg.value();
    Attempt* attempt = nullptr;
    if (it != m_queries.end() && leg < it->second->legs.size())
        attempt = it->second->legs[leg].findOpen(result.key.attempt);
    if (!attempt || result.shard != it->second->legs[leg].shard->number) {
        if (result.outcome != LegOutcome::Cancelled)
            ++m_counters.strayResults;
        return;
    }
    auto& query = *it->second;
    endAttempt(query, query.legs[leg], *attempt, result, now, actions);
    settle(query, now, actions);
}

void StandardQueryEngine::endAttempt(Query& query, LegState& leg, Attempt& attempt, const LegResult& result, TimePoint now, QueryActions& actions)
{
    attempt.isOpen = false;
    --attempt.server->outstanding;
    auto outcome = result.outcome;
    const bool isOrder = query.rule->kind == RequestKind::Order;
    query.ran = query.ran || outcome == LegOutcome::Ok || outcome == LegOutcome::Failed;
    query.mayHaveRun = query.mayHaveRun || !provesNotRun(outcome);
    if (!leg.isOpen)
        return;
    if (outcome == LegOutcome::Ok && !isOrder && (result.version != query.version || result.epoch != query.service->epoch)) {
        ++m_counters.mixedVersions;
        outcome = LegOutcome::VersionGone;
    }
    if (outcome == LegOutcome::Ok) {
        m_hedges.note(*attempt.legClass, now - attempt.sentAt);
        attempt.server->noteLatency(now - attempt.sentAt);
        return takeAnswer(query, leg, result, now, actions);
    }
    endUnanswered(query, leg, outcome, result.detail, now, actions);
}

void StandardQueryEngine::endUnanswered(Query& query, LegState& leg, LegOutcome outcome, const std::string& detail, TimePoint now, QueryActions& actions)
{
    leg.lastOutcome = outcome;
    if (leg.hasOpenAttempt())
        return;
    const auto index = static_cast<std::size_t>(&leg - query.legs.data());
    WorkBatch batch;
    if (mayRetry(query, outcome, now) && sendAttempt(query, index, false, now, batch)) {
        ++m_counters.retries;
        return batch.flush(query, m_self, actions);
    }
    closeLeg(query, leg, std::string(toString(outcome)) + (detail.empty() ? "" : ": " + detail));
}

bool StandardQueryEngine::mayRetry(Query& query, LegOutcome outcome, TimePoint now)
{
    if (!m_settings.retryRefusals || now >= query.deadline || outcome == LegOutcome::Quarantined)
        return false;
    if (query.rule->kind == RequestKind::Order && (query.ran || query.mayHaveRun))
        return false;
    // A server that lost the version did no work, and each replica is asked once: no budget is needed.
    if (outcome == LegOutcome::VersionGone || outcome == LegOutcome::ShardMoved)
        return true;
    return query.budget->retries.spend();
}

void StandardQueryEngine::hedgeLateLegs(Query& query, TimePoint now, QueryActions& actions)
{
    // Between two looks legs only end, so no other leg can become late before the time computed last.
    const bool waitsForFew = m_hedges.waitsForFew(query);
    if (now < query.hedgeCheckAt && waitsForFew == query.waitedForFew)
        return;
    query.waitedForFew = waitsForFew;
    bool wantsTokens = false;
    WorkBatch batch;
    for (const auto leg : m_hedges.lateLegs(query, now)) {
        if (query.budget->hedges.tokens() < 1) {
            wantsTokens = true;
            break;
        }
        if (sendAttempt(query, leg, true, now, batch)) {
            query.budget->hedges.spend();
            ++m_counters.hedges;
        }
    }
    query.hedgeCheckAt = m_hedges.nextLate(query, now);
    if (wantsTokens)
        query.hedgeCheckAt = std::min(query.hedgeCheckAt, now + waitForTokens);
    batch.flush(query, m_self, actions);
}

void StandardQueryEngine::takeAnswer(Query& query, LegState& leg, const LegResult& result, TimePoint now, QueryActions& actions)
{
    leg.answer = ShardAnswer { leg.shard->number, result.batches, result.body };
    leg.isOpen = false;
    --query.openLegs;
    ++query.covered;
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
        --it.server->outstanding;
        query.mayHaveRun = true;
        noteLoser(it, now);
        ++m_counters.cancels;
        actions.emplace_back(SendCancel { it.relay, { query.request.id, LegNumber(static_cast<std::uint32_t>(leg)), it.number } });
    }
}

void StandardQueryEngine::noteLoser(const Attempt& attempt, TimePoint now)
{
    const auto elapsed = now - attempt.sentAt;
    if (elapsed <= m_hedges.delayOf(*attempt.legClass))
        return;
    m_hedges.note(*attempt.legClass, elapsed);
    attempt.server->noteLatency(elapsed);
}

void StandardQueryEngine::settle(Query& query, TimePoint now, QueryActions& actions)
{
    const bool deadlinePassed = now >= query.deadline;
    const bool enough = query.coversEnough();
    if (query.openLegs == 0 || deadlinePassed) {
        if (enough)
            return deliver(query, std::nullopt, now, actions);
        return deliver(query, refusalOf(query, deadlinePassed), now, actions);
    }
    if (now >= query.softDeadline && enough)
        return deliver(query, std::nullopt, now, actions);
    hedgeLateLegs(query, now, actions);
    schedule(query, now);
}

void StandardQueryEngine::deliver(Query& query, std::optional<Error> refusal, TimePoint now, QueryActions& actions)
{
    auto answer = buildAnswer(query, std::move(refusal));
    if (answer.refusal)
        ++m_counters.refusals;
    else if (answer.isComplete())
        ++m_counters.completeAnswers;
    else
        ++m_counters.partialAnswers;
    actions.emplace_back(DeliverAnswer { std::move(answer) });
    forget(query, now, actions);
}

void StandardQueryEngine::forget(Query& query, TimePoint now, QueryActions& actions)
{
    for (std::size_t i = 0; i < query.legs.size(); ++i)
        cancelOpenAttempts(query, i, now, actions);
    m_due.erase({ query.due, query.request.id });
    const auto id = query.request.id;
    m_queries.erase(id);
}

void StandardQueryEngine::schedule(Query& query, TimePoint now)
{
    auto due = now < query.softDeadline ? std::min(query.deadline, query.softDeadline) : query.deadline;
    due = std::min(due, query.hedgeCheckAt);
    if (due == query.due)
        return;
    m_due.erase({ query.due, query.request.id });
    query.due = due;
    m_due.insert({ due, query.request.id });
}

void StandardQueryEngine::onRelayLost(const InstanceName& relay, TimePoint now, QueryActions& actions)
{
    std::vector<LegKey> lost;
    for (const auto& [id, query] : m_queries) {
        for (std::size_t i = 0; i < query->legs.size(); ++i) {
            for (const auto& it : query->legs[i].attempts) {
                if (it.isOpen && it.relay == relay)
                    lost.push_back({ id, LegNumber(static_cast<std::uint32_t>(i)), it.number });
            }
        }
    }
    for (const auto& key : lost) {
        const auto it = m_queries.find(key.request);
        if (it == m_queries.end())
            continue;
        LegResult result;
        result.key = key;
        result.shard = it->second->legs[key.leg.value()].shard->number;
        result.outcome = LegOutcome::Lost;
        result.detail = "the connection to relay " + relay.value() + " broke";
        onLegResult(result, now, actions);
    }
}

void StandardQueryEngine::cancel(const RequestId& id, bool callerIsGone, TimePoint now, QueryActions& actions)
{
    const auto it = m_queries.find(id);
    if (it == m_queries.end())
        return;
    auto& query = *it->second;
    if (callerIsGone)
        return forget(query, now, actions);
    const bool notRun = runStateOf(query) == RunState::NotRun;
    deliver(query, Error { notRun ? ErrorKind::Unavailable : ErrorKind::UnknownOutcome, "cancelled on request", "send it again if it is still wanted" }, now, actions);
}

void StandardQueryEngine::onServerState(const ServerState& state, TimePoint now)
{
    m_servers.note(state, now);
}

void StandardQueryEngine::onTimer(TimePoint now, QueryActions& actions)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const auto it = m_queries.find(m_due.begin()->second);
        m_due.erase(m_due.begin());
        it->second->due = never;
        settle(*it->second, now, actions);
    }
}

TimePoint StandardQueryEngine::nextWake() const
{
    return m_due.empty() ? never : m_due.begin()->first;
}

std::unique_ptr<QueryEngine> makeQueryEngine(const QuerySettings& settings, const InstanceName& self, const ZoneName& zone, std::unique_ptr<RandomSource> random)
{
    return std::make_unique<StandardQueryEngine>(settings, self, zone, std::move(random));
}

}
