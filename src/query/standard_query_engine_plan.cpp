#include "base/fingerprint.h"
#include "query/answer_builder.h"
#include "query/pressure.h"
#include "query/snapshot_chooser.h"
#include "query/standard_query_engine.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// How often a query without a usable snapshot checks for newer tables.
constexpr Duration replanInterval = 5ms;
/// Attempt numbers after a restart begin at a multiple of this, so that earlier attempts stay distinct.
constexpr std::uint32_t attemptNumbersPerStart = 100;
constexpr std::uint32_t maxStarts = 2;
constexpr std::uint32_t maxCanaryAttempts = 3;
/// Time for the other relays to receive the announcement that a probe cleared the content.
constexpr Duration releaseDelay = 20ms;
/// Within this time the relays agree on who probes suspect content.
constexpr Duration suspectRetryAfter = 1s;
/// Overload that refuses lower priorities typically lasts about this long.
constexpr Duration overloadRetryAfter = 1s;

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
    if (query.replanAt != never && m_source) {
        const auto newest = m_source->newest();
        query.tables.shards = newest.shards;
        query.tables.ownership = newest.ownership;
    }
    query.replanAt = never;
    query.service = query.tables.shards->findService(query.rule->service);
    const auto shards = query.service ? shardsOf(query) : std::vector<const Shard*>();
    if (shards.empty())
        return deliver(query, Error { ErrorKind::Unavailable, "the catalog has no shards of service " + query.rule->service.value(), "check the rule's service" }, now, actions);
    const auto version = SnapshotChooser(*query.tables.shards, m_servers, now).choose(shards, query.unavailableVersions);
    if (!version || (query.supersededEpoch && query.service->epoch <= *query.supersededEpoch)) {
        awaitTables(query, now);
        return deliverOrContinue(query, now, actions);
    }
    query.version = *version;
    logDecision(query, "the query is pinned to index version " + std::to_string(version->value()) + ", partition epoch " + std::to_string(query.service->epoch.value()), actions);
    query.legs.resize(shards.size());
    query.openLegs = shards.size();
    for (std::size_t i = 0; i < shards.size(); ++i)
        query.legs[i].shard = shards[i];
    ++query.starts;
    if (needsCanary(query)) {
        if (sendCanary(query, now, actions))
            return schedule(query, now);
        if (query.isSuspect)
            return refuseSuspect(query, now, actions);
    }
    if (sendHeldLegs(query, now, actions))
        deliverOrContinue(query, now, actions);
}

void StandardQueryEngine::awaitTables(Query& query, TimePoint now)
{
    query.legs.clear();
    query.openLegs = 0;
    query.covered = 0;
    query.giveUpAt = never;
    query.replanAt = now + replanInterval;
}

bool StandardQueryEngine::mayRestart(const Query& query, TimePoint now) const
{
    if (query.starts >= maxStarts || query.isSuspect || now >= query.softDeadline)
        return false;
    if (query.mustNotRunAgain())
        return false;
    // The restart needs at least as much time as has passed since the start.
    return query.deadline - now >= now - query.startedAt;
}

void StandardQueryEngine::restart(Query& query, LegOutcome why, TimePoint now, QueryActions& actions)
{
    ++m_counters.restarts;
    logDecision(query, "the query restarts: " + std::string(toString(why)) + " at every replica of a shard", actions);
    for (std::size_t i = 0; i < query.legs.size(); ++i)
        cancelOpenAttempts(query, i, now, actions);
    if (why == LegOutcome::ShardMoved)
        query.supersededEpoch = query.service->epoch;
    else
        query.unavailableVersions.push_back(query.version);
    query.attemptBase += attemptNumbersPerStart;
    query.canary.reset();
    query.canaryRelay.reset();
    query.releaseAt = never;
    query.rerouteAt = never;
    awaitTables(query, now);
    query.replanAt = now;
}

bool StandardQueryEngine::sendHeldLegs(Query& query, TimePoint now, QueryActions& actions)
{
    query.canary.reset();
    query.canaryRelay.reset();
    query.releaseAt = never;
    std::vector<ReplicaChoice> choices(query.legs.size());
    for (std::size_t i = 0; i < query.legs.size(); ++i) {
        const auto& leg = query.legs[i];
        if (leg.isOpen && !leg.hasOpenAttempt())
            choices[i] = m_replicas.choose(query, leg, false, now);
    }
    const auto lateness = latenessOf(query, choices, now);
    if (lateness > Duration {}) {
        query.retryAfter = lateness;
        ++m_counters.notAdmitted;
        deliver(query, Error { ErrorKind::Overloaded, "the backend servers cannot process the request before its deadline", "send the request again after the time given in the answer" }, now, actions);
        return false;
    }
    if (m_settings.shedding && query.rule->kind == RequestKind::Search && !shedLegs(query, choices, now, actions))
        return false;
    WorkBatch batch;
    for (std::size_t i = 0; i < query.legs.size(); ++i) {
        auto& leg = query.legs[i];
        if (!leg.isOpen || leg.hasOpenAttempt())
            continue;
        if (choices[i].server) {
            sendFirstAttempt(query, i, choices[i], now, batch);
        } else {
            closeLeg(query, leg, "no usable replica");
        }
    }
    batch.flush(query, m_self, actions);
    return true;
}

bool StandardQueryEngine::shedLegs(Query& query, const std::vector<ReplicaChoice>& choices, TimePoint now, QueryActions& actions)
{
    std::vector<double> waits;
    std::vector<double> higherWaits;
    std::vector<std::pair<double, std::size_t>> byWait;
    for (std::size_t i = 0; i < choices.size(); ++i) {
        if (!choices[i].server)
            continue;
        waits.push_back(m_replicas.waitShare(choices[i], query.rule->priority, query.deadline, now));
        higherWaits.push_back(m_replicas.higherPriorityWaitShare(choices[i], query.rule->priority, query.deadline, now));
        byWait.emplace_back(waits.back(), i);
    }
    const Pressure pressure(waits);
    if (Pressure(higherWaits).value() > m_settings.maxHigherPriorityPressure.value) {
        query.retryAfter = std::max(query.retryAfter, overloadRetryAfter);
        ++m_counters.notAdmitted;
        deliver(query, Error { ErrorKind::Overloaded, "the backend servers are busy with requests of higher priority", "send the request again after the time given in the answer" }, now, actions);
        return false;
    }
    query.mayHedge = query.mayHedge && pressure.value() <= m_settings.maxHedgePressure.value;
    if (query.rule->preference != AnswerPreference::Tail)
        return true;
    const auto count = pressure.legsToShed(query.spareLegs(), m_settings);
    if (count == 0)
        return true;
    std::sort(byWait.rbegin(), byWait.rend());
    for (std::size_t i = 0; i < count && i < byWait.size(); ++i) {
        closeLeg(query, query.legs[byWait[i].second], "left out under overload");
        ++m_counters.shedLegs;
    }
    return true;
}

Duration StandardQueryEngine::latenessOf(const Query& query, const std::vector<ReplicaChoice>& choices, TimePoint now) const
{
    if (!m_settings.admission)
        return {};
    std::size_t late = 0;
    Duration longest {};
    for (const auto& it : choices) {
        const auto lateness = it.server ? now + m_replicas.minResponseTime(it, query.rule->priority, now) - query.deadline : Duration {};
        if (lateness <= Duration {})
            continue;
        ++late;
        longest = std::max(longest, lateness);
    }
    const auto n = static_cast<double>(query.legs.size());
    return (n - static_cast<double>(late)) / n >= query.rule->minCoverage.value ? Duration {} : longest;
}

bool StandardQueryEngine::needsCanary(const Query& query) const
{
    if (query.legs.size() < 2)
        return false;
    return query.isSuspect || m_settings.canaryBeforeSearch;
}

bool StandardQueryEngine::sendCanary(Query& query, TimePoint now, QueryActions& actions)
{
    if (query.canaryAttempts++ >= maxCanaryAttempts)
        return false;
    std::size_t first = query.fingerprint.value() % query.legs.size();
    const auto* probeServer = m_evidence.probeServer(query.fingerprint, now);
    const auto* owners = probeServer ? query.tables.ownership->ownersOf(*probeServer) : nullptr;
    if (owners) {
        query.canaryRelay = owners->owner;
        for (std::size_t i = 0; i < query.legs.size(); ++i) {
            const auto& replicas = query.legs[i].shard->replicas;
            if (std::find(replicas.begin(), replicas.end(), *probeServer) != replicas.end())
                first = i;
        }
    }
    for (std::size_t n = 0; n < query.legs.size(); ++n) {
        const auto leg = (first + n) % query.legs.size();
        if (!query.legs[leg].isOpen || query.legs[leg].hasOpenAttempt())
            continue;
        const auto candidates = m_replicas.candidatesOf(query, query.legs[leg], false, now);
        if (candidates.empty())
            continue;
        // The fingerprint selects the server, so entries with the same candidates choose the same one:
        // content that arrives at several entries at once crashes only this server.
        const auto& choice = candidates[query.fingerprint.value() % candidates.size()];
        WorkBatch batch;
        query.canary = leg;
        sendFirstAttempt(query, leg, choice, now, batch);
        ++m_counters.canaries;
        logDecision(query, "leg " + std::to_string(leg) + " is sent first, as a canary, to " + choice.server->name.value(), actions);
        batch.flush(query, m_self, actions);
        return true;
    }
    return false;
}

bool StandardQueryEngine::advanceCanary(Query& query, TimePoint now, QueryActions& actions)
{
    auto& leg = query.legs[*query.canary];
    if (leg.isOpen || query.releaseAt != never)
        return true;
    if (leg.answer) {
        if (!query.isSuspect)
            return sendHeldLegs(query, now, actions);
        query.releaseAt = now + releaseDelay;
        return true;
    }
    if (leg.lastOutcome == LegOutcome::Quarantined || m_evidence.standingOf(query.fingerprint, now) == ContentStanding::Quarantined) {
        deliver(query, quarantineRefusal(), now, actions);
        return false;
    }
    if (leg.lastOutcome && provesNotRun(*leg.lastOutcome)) {
        leg.isOpen = true; // Another replica may run the leg once the content is cleared.
        ++query.openLegs;
    }
    if (sendCanary(query, now, actions))
        return true;
    if (!query.isSuspect)
        return sendHeldLegs(query, now, actions);
    refuseSuspect(query, now, actions);
    return false;
}

void StandardQueryEngine::refuseSuspect(Query& query, TimePoint now, QueryActions& actions)
{
    query.retryAfter = std::max(query.retryAfter, suspectRetryAfter);
    deliver(query, Error { ErrorKind::Unavailable, "the content of the request may crash servers, and no server is available to probe it", "send the request again later" }, now, actions);
}

void StandardQueryEngine::recordCrash(Query& query, LegState& leg, const Attempt& attempt, TimePoint now, QueryActions& actions)
{
    ++m_counters.crashes;
    const auto index = static_cast<std::size_t>(&leg - query.legs.data());
    const bool wasProbe = query.isSuspect && (query.canary == index || query.legs.size() == 1);
    m_evidence.recordCrash(query.fingerprint, { attempt.server->name, query.rule->service, attempt.sequence, wasProbe }, now);
    for (const auto& [id, other] : m_queries) {
        if (other->fingerprint != query.fingerprint)
            continue;
        other->isSuspect = true;
        other->mayHedge = false;
    }
    logDecision(query, "server " + attempt.server->name.value() + " crashed while leg " + std::to_string(index) + " ran; the query is neither hedged nor retried any more", actions);
    cancelOpenAttempts(query, index, now, actions);
}

}
