#include "query/standard_query_engine.h"

#include "base/fingerprint.h"
#include "query/answer_builder.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// How long a search that can't reach its minimum coverage awaits its other legs for proof that nothing ran.
constexpr Duration notRunProofTimeout = 10ms;

}

StandardQueryEngine::StandardQueryEngine(
    const QuerySettings& settings, InstanceName self, const ZoneName& zone, std::unique_ptr<RandomSource> random, std::shared_ptr<const TableSource> source, std::shared_ptr<RuleBudgets> budgets)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_random(std::move(random))
    , m_source(std::move(source))
    , m_replicas(m_settings, zone, m_servers, m_disconnectedRelays, m_evidence, *m_random)
    , m_hedges(m_settings, zone)
    , m_sharedBudgets(budgets ? std::move(budgets) : std::make_shared<RuleBudgets>())
{
}

void StandardQueryEngine::start(const CallerRequest& request, const QueryTables& tables, TimePoint now, QueryActions& actions)
{
    ++m_counters.requests;
    auto& query = *m_queries.emplace(request.id, std::make_unique<Query>()).first->second;
    query.request = request;
    query.tables = tables;
    query.startedAt = now;
    query.rule = tables.rules->match(request.path);
    if (!query.rule)
        return deliver(query, Error { ErrorKind::NotFound, "no rule matches the path " + request.path, "check the path, or ask the operators for a rule" }, now, actions);
    query.deadline = std::min(request.deadline, now + query.rule->deadline);
    if (query.deadline <= now)
        return deliver(query, Error { ErrorKind::DeadlineExceeded, "the deadline of the request had passed on arrival", "allow more time" }, now, actions);
    if (query.rule->preference == AnswerPreference::Tail && query.rule->softDeadline.count() > 0)
        query.softDeadline = now + query.rule->softDeadline;
    query.fingerprint = fingerprintOf(query.rule->service, request.body ? std::string_view(*request.body) : std::string_view());
    const auto standing = m_evidence.standingOf(query.fingerprint, now);
    if (standing == ContentStanding::Quarantined)
        return deliver(query, quarantineRefusal(), now, actions);
    query.isSuspect = standing == ContentStanding::Suspect;
    query.budget = &budgetOf(*query.rule);
    query.mayHedge = query.rule->kind != RequestKind::Order && !query.isSuspect;
    plan(query, now, actions);
}

void StandardQueryEngine::onLegResult(const LegResult& result, TimePoint now, QueryActions& actions)
{
    m_servers.recordState(result.state, now);
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
    if (query.canary && !advanceCanary(query, now, actions))
        return;
    deliverOrContinue(query, now, actions);
}

void StandardQueryEngine::onRelayDisconnected(const InstanceName& relay, TimePoint now, QueryActions& actions)
{
    m_disconnectedRelays.markLost(relay, now);
    std::vector<LegResult> lost;
    for (const auto& [id, query] : m_queries) {
        for (std::size_t i = 0; i < query->legs.size(); ++i) {
            for (const auto& it : query->legs[i].attempts) {
                if (!it.isOpen || it.relay != relay)
                    continue;
                auto& result = lost.emplace_back();
                result.key = { id, LegNumber(static_cast<std::uint32_t>(i)), it.number };
                result.shard = query->legs[i].shard->number;
                result.outcome = LegOutcome::Lost;
                result.detail = "the connection to relay " + relay.value() + " broke";
            }
        }
    }
    const auto strays = m_counters.strayResults;
    for (const auto& it : lost)
        onLegResult(it, now, actions);
    m_counters.strayResults = strays; // Lost legs of a query that ended in this loop are not stray results.
}

void StandardQueryEngine::cancel(const RequestId& id, bool callerDisconnected, TimePoint now, QueryActions& actions)
{
    const auto it = m_queries.find(id);
    if (it == m_queries.end())
        return;
    auto& query = *it->second;
    if (callerDisconnected)
        return endQuery(query, now, actions);
    const bool notRun = runStateOf(query) == RunState::NotRun;
    const auto kind = notRun ? ErrorKind::Unavailable : ErrorKind::UnknownOutcome;
    deliver(query, Error { kind, "the request was cancelled by its caller", "send the request again if its result is still needed" }, now, actions);
}

void StandardQueryEngine::onServerState(const ServerState& state, TimePoint now)
{
    m_servers.recordState(state, now);
}

void StandardQueryEngine::onCrashAnnounced(const CrashNews& news, TimePoint now, QueryActions& actions)
{
    m_evidence.recordCrashNews(news, now);
    if (news.crashes == 0)
        return;
    const bool isQuarantined = m_evidence.standingOf(news.fingerprint, now) == ContentStanding::Quarantined;
    std::vector<Query*> refused;
    for (const auto& [id, query] : m_queries) {
        if (query->fingerprint != news.fingerprint || !query->budget)
            continue;
        query->isSuspect = true;
        query->mayHedge = false;
        if (isQuarantined && query->canary)
            refused.push_back(query.get());
    }
    for (auto* it : refused)
        deliver(*it, quarantineRefusal(), now, actions);
}

void StandardQueryEngine::onTimer(TimePoint now, QueryActions& actions)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        auto& query = *m_queries.find(m_due.begin()->second)->second;
        m_due.erase(m_due.begin());
        query.due = never;
        if (now < query.deadline && now >= query.replanAt) {
            plan(query, now, actions);
            continue;
        }
        if (now < query.deadline && now >= query.rerouteAt)
            reroute(query, now, actions);
        if (now < query.deadline && now >= query.releaseAt && !sendHeldLegs(query, now, actions))
            continue;
        deliverOrContinue(query, now, actions);
    }
}

TimePoint StandardQueryEngine::nextWake() const
{
    return m_due.empty() ? never : m_due.begin()->first;
}

void StandardQueryEngine::deliverOrContinue(Query& query, TimePoint now, QueryActions& actions)
{
    const bool deadlinePassed = now >= query.deadline;
    const bool enough = query.coversEnough();
    const bool allEnded = query.openLegs == 0 && !query.legs.empty();
    if (enough && (allEnded || deadlinePassed || now >= query.softDeadline))
        return deliver(query, std::nullopt, now, actions);
    if (allEnded || deadlinePassed || mustGiveUp(query, now))
        return deliver(query, refusalOf(query, deadlinePassed), now, actions);
    if (query.giveUpAt == never) {
        hedgeLateLegs(query, now, actions);
    } else {
        // The query sends nothing more: a past time for a hedge or reroute would wake the query forever.
        query.hedgeCheckAt = never;
        query.rerouteAt = never;
    }
    schedule(query, now);
}

bool StandardQueryEngine::mustGiveUp(Query& query, TimePoint now) const
{
    if (query.rule->kind != RequestKind::Search || query.canCoverEnough())
        return false;
    if (query.ran || query.mayHaveRun)
        return true;
    query.giveUpAt = std::min(query.giveUpAt, now + notRunProofTimeout);
    return now >= query.giveUpAt;
}

void StandardQueryEngine::deliver(Query& query, std::optional<Error> refusal, TimePoint now, QueryActions& actions)
{
    auto answer = buildAnswer(query, std::move(refusal));
    answer.retryAfter = std::max(answer.retryAfter, m_evidence.remainingQuarantine(query.fingerprint, now));
    if (answer.refusal)
        ++m_counters.refusals;
    else if (answer.isComplete())
        ++m_counters.completeAnswers;
    else
        ++m_counters.partialAnswers;
    if (answer.refusal && answer.refusal->kind == ErrorKind::Quarantined)
        ++m_counters.quarantined;
    actions.emplace_back(DeliverAnswer { std::move(answer) });
    endQuery(query, now, actions);
}

void StandardQueryEngine::endQuery(Query& query, TimePoint now, QueryActions& actions)
{
    for (std::size_t i = 0; i < query.legs.size(); ++i)
        cancelOpenAttempts(query, i, now, actions);
    m_due.erase({ query.due, query.request.id });
    const auto id = query.request.id; // A copy, because erasing the query destroys its id.
    m_queries.erase(id);
}

void StandardQueryEngine::schedule(Query& query, TimePoint now)
{
    auto due = now < query.softDeadline ? std::min(query.deadline, query.softDeadline) : query.deadline;
    due = std::min({ due, query.hedgeCheckAt, query.releaseAt, query.rerouteAt, query.replanAt, query.giveUpAt });
    if (due == query.due)
        return;
    m_due.erase({ query.due, query.request.id });
    query.due = due;
    m_due.insert({ due, query.request.id });
}

void StandardQueryEngine::logDecision(const Query& query, std::string text, QueryActions& actions) const
{
    actions.emplace_back(LogDecision { query.request.id, std::move(text) });
}

std::unique_ptr<QueryEngine> makeQueryEngine(
    const QuerySettings& settings, const InstanceName& self, const ZoneName& zone, std::unique_ptr<RandomSource> random, std::shared_ptr<const TableSource> source,
    std::shared_ptr<RuleBudgets> budgets)
{
    return std::make_unique<StandardQueryEngine>(settings, self, zone, std::move(random), std::move(source), std::move(budgets));
}

}
