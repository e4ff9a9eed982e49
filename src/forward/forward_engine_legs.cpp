#include "forward/forward_engine.h"
#include "forward/record_merge.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace lycheefield {

namespace {

/// A leg without an available server or without budget is retried after this time.
constexpr Duration retryPeriod = 15ms;
/// Maximum number of attempts that one review of a request starts. The rest follow in the next review, so
/// that an instance with a slow processor also reads responses in between.
constexpr std::uint64_t attemptsPerTurn = 12;
/// The hedge delay as a multiple of the 95 % latency quantile.
constexpr double hedgeDelayFactor = 1.2;
/// The median latency assumed without samples, as a share of the target latency.
constexpr double defaultLatencyShare = 0.2;
/// A leg is shed when its expected latency exceeds this multiple of the time left until the answer.
constexpr double shedFactor = 1.5;
/// Parts of a search are merged early when they are longer than so many answers and than maxSmallHeldBytes.
constexpr std::size_t maxHeldAnswers = 4;
/// Responses that wait for the answer of their request may always take so many bytes.
constexpr std::size_t maxSmallHeldBytes = 64 * 1024;
/// Minimum Retry-After for a request that has not run.
constexpr Duration minRetryAfter = 100ms;

}

PickContext ForwardEngine::contextFor(const Route& route, const Leg& leg, TimePoint now)
{
    const auto defaultTime = scaled(route.targetLatency, defaultLatencyShare);
    const auto it = m_times.find(route.name);
    return { it == m_times.end() ? defaultTime : it->second.median(defaultTime), now, &leg.tried, route.targetLatency };
}

Duration ForwardEngine::maxHedgeDelay(const Request& request) const
{
    const auto& route = request.route();
    const auto available = route.isSearch() ? std::min(route.targetLatency, Duration(request.answerBy - request.startedAt)) : route.targetLatency;
    return scaled(std::max(Duration {}, available), m_settings.maxHedgeDelay.value);
}

Duration ForwardEngine::hedgeDelay(const Request& request)
{
    const auto& route = request.route();
    const auto maxDelay = maxHedgeDelay(request);
    const auto minDelay = std::min(maxDelay, scaled(route.targetLatency, m_settings.minHedgeDelay.value));
    const auto it = m_times.find(route.name);
    if (it == m_times.end())
        return maxDelay;
    return std::clamp(scaled(it->second.quantile95(maxDelay), hedgeDelayFactor), minDelay, maxDelay);
}

TrackedServerPtr ForwardEngine::pickServer(const Request& request, const Leg& leg, const PickContext& context)
{
    const auto& services = request.request.table->services;
    const auto policy = services.find(leg.service);
    return m_pool.pick(leg.service, policy == services.end() ? ServicePolicy {} : policy->second, context);
}

Duration ForwardEngine::maxHedgeLatency(const Request& request, TimePoint now) const
{
    const bool isInTime = now < request.answerBy;
    const auto end = request.route().isSearch() && isInTime ? request.answerBy : request.deadline;
    return std::min(ServerPool::unusableCost, Duration(end - now));
}

bool ForwardEngine::mayRunAgain(const Request& request, const Leg& leg) const
{
    if (!request.route().isIdempotent)
        return leg.mayHaveRun == 0;
    return leg.mayHaveRun < (request.mayUseExtraAttempts ? request.route().maxRuns : 1);
}

bool ForwardEngine::takeBudget(const Request& request, Leg& leg, TimePoint now)
{
    auto& budget = m_budgets[leg.service];
    if (!std::exchange(leg.isCounted, true)) {
        if (request.request.earnsBudget)
            budget.recordFirst(now, m_settings.retryWindow);
        ++m_counters.firstAttempts;
    }
    if (leg.arrivals == 0)
        return true;
    if (budget.takeExtra(now, budgetLimits()))
        return true;
    ++m_counters.extraAttemptsDenied;
    return false;
}

bool ForwardEngine::trySend(Request& request, std::size_t index, bool isHedge, TimePoint now, ForwardActions& actions)
{
    auto& leg = request.legs[index];
    if (awaitsGrant(request, leg) || !mayRunContent(request, now))
        return false;
    if (untilProbeAllowed(request, leg, now) > Duration {})
        return false;
    const auto context = contextFor(request.route(), leg, now);
    const auto server = pickServer(request, leg, context);
    logSpillChanges(now, actions);
    if (!server || (isHedge && m_pool.expected(*server, context) > maxHedgeLatency(request, now)))
        return false;
    if (!takeBudget(request, leg, now))
        return false;
    if (leg.arrivals > 0)
        ++(isHedge ? m_counters.hedges : m_counters.retries);
    if (!server->isInZone)
        ++m_counters.attemptsInOtherZones;
    if (leg.tried.empty())
        m_pool.recordFirstAttempt(*server);
    const ServerRequestId id { ++m_lastAttempt };
    ServerPool::recordSent(*server, now);
    const bool isProbe = standingOf(request, now) == ContentStanding::Suspect && !request.hasPassedProbe;
    m_attempts.emplace(id, Attempt { server, leg.service, now, m_evidence.nextSequence(), never, request.request.number, index, request.route().name, request.request.content, request.route().isIdempotent, request.route().isSearch(), isProbe });
    leg.tried.push_back(server);
    leg.inFlight.push_back(id);
    ++leg.mayHaveRun;
    ++leg.arrivals;
    recordLegSent(request, index, now);
    leg.stage = LegStage::Sent;
    leg.hedgeAt = request.route().isIdempotent ? now + hedgeDelay(request) : never;
    actions.emplace_back(SendServerRequest { id, server->entry, request.request.message, request.request.attemptId, request.deadline, request.route().isIdempotent, request.request.team });
    return true;
}

void ForwardEngine::logSpillChanges(TimePoint now, ForwardActions& actions)
{
    for (const auto& it : m_pool.takeSpillChanges(now)) {
        std::ostringstream detail;
        detail << std::fixed << std::setprecision(2) << "service=" << it.service.value() << " share=" << it.share << " backlog=" << it.inputs.backlog << " capacity=" << it.inputs.capacity << " headroom=" << it.inputs.headroom;
        actions.emplace_back(LogForwardDecision { DecisionImportance::Extra, {}, it.isSpilling ? "requests leave the zone" : "requests stay in the zone again", detail.str() });
    }
}

void ForwardEngine::shedLegs(Request& request, TimePoint now)
{
    const auto timeLeft = scaled(request.answerBy - now, shedFactor);
    std::vector<std::pair<Duration, std::size_t>> late;
    for (std::size_t i = 0; i < request.legs.size(); ++i) {
        const auto& leg = request.legs[i];
        if (leg.stage != LegStage::Unsent)
            continue;
        auto context = contextFor(request.route(), leg, now);
        context.isEstimate = true;
        const auto server = pickServer(request, leg, context);
        const auto expected = server ? m_pool.expectedIfResponsive(*server, context) : expectedWait(request, i, context);
        if (expected > timeLeft || !m_pool.hasServers(leg.service))
            late.emplace_back(expected, i);
    }
    std::sort(late.rbegin(), late.rend());
    late.resize(std::min(late.size(), request.sheddableLegs()));
    for (const auto& [expected, index] : late) {
        endLeg(request, request.legs[index], LegStage::Shed);
        ++m_counters.shedLegs;
    }
}

bool ForwardEngine::shedLimitedLegs(Request& request, TimePoint now)
{
    std::vector<std::size_t> limited;
    std::size_t withoutServers = 0;
    for (std::size_t i = 0; i < request.legs.size(); ++i) {
        const auto& service = request.legs[i].service;
        const bool isSentFromHere = !m_delegateChooser || request.request.isPart() || !request.route().isSearch() || m_pool.hasServersIn(service, m_settings.zone);
        if (isSentFromHere && m_pool.untilAllowed(service, now) > Duration {})
            limited.push_back(i);
        else if (!m_pool.hasServers(service))
            ++withoutServers;
    }
    const bool isDividedInZone = request.route().isSearch() && !request.request.isPart() && request.legs.size() > maxLocalLegs(request.route());
    if (limited.empty() || isDividedInZone)
        return true;
    const auto minLegs = request.route().isSearch() ? request.route().minimumOf(request.legs.size()) : 1;
    if (request.legs.size() - limited.size() - withoutServers < minLegs)
        return false;
    for (const auto it : limited)
        endLeg(request, request.legs[it], LegStage::Shed);
    m_counters.limitedLegs += limited.size();
    return true;
}

void ForwardEngine::restoreShedLegs(Request& request, TimePoint now, ForwardActions& actions)
{
    for (std::size_t i = 0; i < request.legs.size() && !request.canCoverEnough(); ++i) {
        if (request.legs[i].stage != LegStage::Shed)
            continue;
        request.legs[i].stage = LegStage::Unsent;
        --request.missing;
        reviewLeg(request, i, now, actions);
    }
}

void ForwardEngine::endLeg(Request& request, Leg& leg, LegStage stage)
{
    leg.stage = stage;
    ++request.missing;
    dequeue(request, static_cast<std::size_t>(&leg - request.legs.data()));
}

void ForwardEngine::acceptPart(Request& request, Leg& leg, const ServerResponse& response)
{
    leg.stage = LegStage::Done;
    ++request.done;
    leg.signature = response.signature;
    if (!request.route().isSearch()) {
        leg.singleResponse = response.message;
        return;
    }
    leg.body = response.message.body;
    setHeldBytes(request, request.heldBytes + leg.body.size());
    mergeLargeParts(request);
}

void ForwardEngine::mergeLargeParts(Request& request)
{
    const auto topRecords = request.route().topRecords;
    if (request.heldBytes <= std::max(maxSmallHeldBytes, maxHeldAnswers * topRecords * recordBytes))
        return;
    std::vector<std::string_view> parts { request.mergedRecords };
    for (const auto& leg : request.legs)
        parts.push_back(leg.body);
    auto merged = greatestRecords(parts, topRecords);
    for (auto& leg : request.legs)
        std::string().swap(leg.body);
    request.mergedRecords = std::move(merged);
    setHeldBytes(request, request.mergedRecords.size());
}

void ForwardEngine::keepFailure(Request& request, Leg& leg, const ServerResponse& response)
{
    // A search has no use for it.
    if (request.route().isSearch())
        return;
    leg.singleResponse = response.message;
    setHeldBytes(request, response.message.body.size());
}

void ForwardEngine::dropLargeFailure(Request& request, Leg& leg)
{
    if (!isWaiting(leg) || !leg.singleResponse || leg.singleResponse->body.size() <= maxSmallHeldBytes)
        return;
    leg.singleResponse.reset();
    setHeldBytes(request, 0);
}

void ForwardEngine::setHeldBytes(Request& request, std::size_t bytes)
{
    m_heldBytes = m_heldBytes - request.heldBytes + bytes;
    request.heldBytes = bytes;
}

void ForwardEngine::onLegFailed(Request& request, std::size_t index, TimePoint now, ForwardActions& actions)
{
    auto& leg = request.legs[index];
    const bool isQuarantined = quarantineRemaining(request, now) > Duration {};
    if (!isQuarantined && mayRunAgain(request, leg) && trySend(request, index, false, now, actions))
        return;
    if (!leg.inFlight.empty())
        return;
    // Full servers are removed from the tried ones, so that the leg can wait for their capacity.
    const bool mayWait = !isQuarantined && mayRunAgain(request, leg) && m_pool.hasUntriedServers(leg.service, leg.tried);
    if (mayWait)
        return enqueue(request, index, now);
    if (!isQuarantined && requestGrant(request, leg, now))
        return;
    // The leg has failed: the request's content is quarantined, the leg may not run again, or every server has been tried.
    endLeg(request, leg, LegStage::Missing);
}

void ForwardEngine::reviewLeg(Request& request, std::size_t index, TimePoint now, ForwardActions& actions)
{
    auto& leg = request.legs[index];
    if (leg.stage == LegStage::Unsent && awaitsGrant(request, leg))
        return endLeg(request, leg, LegStage::Missing);
    if (leg.stage == LegStage::Unsent)
        sendQueuedAhead(request, index, now, actions);
    if (leg.stage == LegStage::Unsent && !trySend(request, index, false, now, actions)) {
        // Demand beyond what the servers allow does not wait: the next requests they allow are wanted as well.
        if (!m_pool.hasServers(leg.service) || m_pool.untilAllowed(leg.service, now) > Duration {})
            endLeg(request, leg, LegStage::Missing);
        else if (!endHopelessLeg(request, index, now))
            enqueue(request, index, now);
        return;
    }
    if (leg.stage != LegStage::Sent || now < leg.hedgeAt)
        return;
    if (!mayRunAgain(request, leg)) {
        leg.hedgeAt = never;
        return;
    }
    if (trySend(request, index, true, now, actions))
        actions.emplace_back(LogForwardDecision { DecisionImportance::Extra, request.request.attemptId, "hedge sent to a second server",
            "service=" + leg.service.value() + " first=" + leg.tried.front()->entry.name.value() + " second=" + leg.tried.back()->entry.name.value() });
    else
        leg.hedgeAt = now + retryPeriod;
}

void ForwardEngine::review(Request& request, TimePoint now, ForwardActions& actions)
{
    restoreShedLegs(request, now, actions);
    const bool isLate = now >= request.answerBy;
    const bool isOver = request.pending() == 0 || !request.canCoverEnough() || now >= request.deadline;
    if (isOver || (isLate && request.coversEnough()))
        return finish(request, now, actions);
    requestExtraAttempts(request, now, actions);
    endSuspectRetries(request, now);
    if (standingOf(request, now) == ContentStanding::Quarantined)
        endUnsentLegs(request);
    if (standingOf(request, now) == ContentStanding::Suspect && mayRunContent(request, now) && !request.hasPassedProbe)
        reviewProbe(request, now, actions);
    if (standingOf(request, now) == ContentStanding::Suspect && mayRunContent(request, now) && !request.hasPassedProbe)
        endLegsWithoutProbe(request, now);
    const auto turnEnd = m_lastAttempt + attemptsPerTurn;
    for (std::size_t i = 0; i < request.legs.size() && m_lastAttempt < turnEnd; ++i) {
        const auto& leg = request.legs[i];
        if (isWaiting(leg) && now >= leg.hedgeAt)
            reviewLeg(request, i, now, actions);
    }
    if (request.pending() == 0 || !request.canCoverEnough())
        return finish(request, now, actions);
    schedule(request, now);
}

void ForwardEngine::schedule(Request& request, TimePoint now)
{
    auto due = std::min(request.deadline, request.requestExtraAt);
    if (now < request.answerBy)
        due = std::min(due, request.answerBy);
    for (const auto& leg : request.legs) {
        if (isWaiting(leg))
            due = std::min(due, leg.hedgeAt);
    }
    if (due == request.due)
        return;
    m_dueTimes.erase({ request.due, request.request.number });
    request.due = due;
    m_dueTimes.emplace(due, request.request.number);
}

ForwardAnswer ForwardEngine::makeSearchAnswer(Request& request) const
{
    ForwardAnswer answer;
    answer.request = request.request.number;
    answer.kind = ForwardAnswerKind::Search;
    answer.missingShards = request.legs.size() - request.done;
    answer.reason = answer.missingShards == 0 ? "complete" : "partial";
    std::vector<std::string_view> parts { request.mergedRecords };
    for (std::size_t i = 0; i < request.legs.size(); ++i) {
        auto& leg = request.legs[i];
        if (leg.stage != LegStage::Done)
            continue;
        parts.push_back(leg.body);
        answer.signatures.push_back(std::move(leg.signature));
        answer.coveredShards.push_back(static_cast<std::uint32_t>(i));
    }
    answer.message.status = 200;
    answer.message.body = greatestRecords(parts, request.route().topRecords);
    return answer;
}

ForwardAnswer ForwardEngine::makeAnswer(Request& request, TimePoint now)
{
    if (request.route().isSearch() && request.coversEnough())
        return makeSearchAnswer(request);
    ForwardAnswer answer;
    answer.request = request.request.number;
    auto& only = request.legs.front();
    if (!request.route().isSearch() && only.singleResponse) {
        answer.kind = ForwardAnswerKind::PassThrough;
        answer.message = std::move(*only.singleResponse);
        answer.reason = "status " + std::to_string(answer.message.status);
        return answer;
    }
    const bool isInFlight = std::any_of(request.legs.begin(), request.legs.end(), [](const Leg& leg) { return !leg.inFlight.empty() || leg.stage == LegStage::Delegated; });
    if (!request.mayHaveRun && !isInFlight) {
        answer.kind = ForwardAnswerKind::NotRun;
        const auto quarantined = quarantineRemaining(request, now);
        answer.reason = quarantined > Duration {} ? "quarantined" : request.refusedWait > Duration {} ? "not run, wait too long"
                                                                                                      : "not run";
        answer.retryAfter = std::max({ minRetryAfter, quarantined, request.refusedWait });
        for (const auto& leg : request.legs) {
            if (leg.stage != LegStage::Done)
                answer.retryAfter = std::max({ answer.retryAfter, m_pool.untilUsable(leg.service, now), m_pool.untilAllowed(leg.service, now), untilProbeAllowed(request, leg, now) });
        }
        return answer;
    }
    answer.kind = now >= request.deadline ? ForwardAnswerKind::TimedOut : ForwardAnswerKind::Failed;
    answer.reason = answer.kind == ForwardAnswerKind::TimedOut ? "timed out" : "failed";
    return answer;
}

}
