#include "forward/forward_engine.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// The first attempts of one in this many delegations earn the delegating instance's budget and not the
/// delegate's, so that the delegating instance has budget for legs that it takes back.
constexpr std::uint64_t delegatorEarnsOneOf = 3;
/// A delegate is silent when it has neither answered nor requested extra attempts within the maximum hedge
/// delay plus this margin, counted from its confirmation.
constexpr Duration silenceMargin = 25ms;
/// A delegate's answer is due this long before the search's answer, because both instances need time to merge.
constexpr Duration mergeMargin = 8ms;
/// Processor time for sending one leg and reading its response on one full core.
constexpr Duration processorTimePerLeg = 90us;
/// Share of the target latency that an instance may spend on the legs of one search.
constexpr double processorShareOfTarget = 0.08;
/// Legs beyond this number are divided into groups of at most this many on average. A group may have more,
/// because the groups are ranges of equal length over all legs of the search.
constexpr std::size_t legsPerGroup = 12;
/// A failed leg whose extra attempt is not granted within this time is left to the delegating instance.
constexpr Duration maxGrantTime = 15ms;
constexpr Duration networkTimesPeriod = std::chrono::seconds(1);

}

bool delegateEarnsBudget(DelegationId id)
{
    return id.value() % delegatorEarnsOneOf != 0;
}

void ForwardEngine::delegateLegs(Request& request, TimePoint now, ForwardActions& actions)
{
    if (!m_delegateChooser || request.request.isPart())
        return;
    learnNetworkTimes(now);
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t i = 0; i < request.legs.size(); ++i) {
        const auto& service = request.legs[i].service;
        if (m_pool.hasServersIn(service, m_settings.zone))
            near.push_back(i);
        else if (m_pool.hasServers(service))
            far.push_back(i);
    }
    delegateRemoteLegs(request, std::move(far), now, actions);
    if (near.size() > maxLocalLegs(request.route()))
        delegateInGroups(request, m_settings.zone, near, now, actions);
}

void ForwardEngine::learnNetworkTimes(TimePoint now)
{
    if (now < m_learnNetworkTimesAt)
        return;
    m_learnNetworkTimesAt = now + networkTimesPeriod;
    for (const auto& zone : m_delegateChooser->zones()) {
        if (const auto time = m_delegateChooser->networkTimeTo(zone); time > Duration {})
            m_pool.setNetworkTime(zone, time);
    }
}

std::size_t ForwardEngine::maxLocalLegs(const Route& route) const
{
    return static_cast<std::size_t>(scaled(route.targetLatency, processorShareOfTarget * m_settings.cores.value) / processorTimePerLeg);
}

void ForwardEngine::delegateRemoteLegs(Request& request, std::vector<std::size_t> legs, TimePoint now, ForwardActions& actions)
{
    while (!legs.empty()) {
        std::vector<ZoneCoverage> coverage;
        for (const auto& zone : m_delegateChooser->zones()) {
            ZoneCoverage covered { zone, 0 };
            for (const auto it : legs)
                covered.shards += m_pool.hasServersIn(request.legs[it].service, zone) ? 1 : 0;
            coverage.push_back(std::move(covered));
        }
        const auto choice = m_delegateChooser->choose(coverage, now);
        if (!choice)
            return;
        const auto isInZone = [&](std::size_t it) { return m_pool.hasServersIn(request.legs[it].service, choice->zone); };
        std::vector<std::size_t> inZone;
        std::copy_if(legs.begin(), legs.end(), std::back_inserter(inZone), isInZone);
        std::erase_if(legs, isInZone);
        if (inZone.size() > legsPerGroup)
            delegateInGroups(request, choice->zone, inZone, now, actions);
        else
            delegate(request, choice->instance, std::move(inZone), now, actions);
    }
}

void ForwardEngine::delegateInGroups(Request& request, const ZoneName& zone, const std::vector<std::size_t>& legs, TimePoint now, ForwardActions& actions)
{
    const auto count = (legs.size() + legsPerGroup - 1) / legsPerGroup;
    std::vector<std::vector<std::size_t>> groups(count);
    for (const auto it : legs)
        groups[it * count / request.legs.size()].push_back(it);
    for (std::size_t i = 0; i < count; ++i) {
        if (groups[i].size() < DelegateChooser::minShards)
            continue;
        const auto instance = m_delegateChooser->instanceFor(zone, { i, count }, now);
        if (instance && *instance != m_delegateChooser->self())
            delegate(request, *instance, std::move(groups[i]), now, actions);
    }
}

void ForwardEngine::delegate(Request& request, const InstanceName& instance, std::vector<std::size_t> legs, TimePoint now, ForwardActions& actions)
{
    const DelegationId id { ++m_lastDelegation };
    DelegateShards delegation { id, instance, request.request, {}, request.answerBy - mergeMargin, maxHedgeDelay(request) + silenceMargin };
    delegation.request.deadline = request.deadline;
    for (const auto it : legs) {
        auto& leg = request.legs[it];
        leg.stage = LegStage::Delegated;
        leg.delegateRuns = 1;
        if (!delegateEarnsBudget(id)) {
            m_budgets[leg.service].recordFirst(now, m_settings.retryWindow);
            leg.isCounted = true;
        }
        delegation.shards.push_back(leg.service);
    }
    m_counters.delegatedLegs += legs.size();
    m_delegations.emplace(id, request.request.number);
    request.delegations.emplace(id, std::move(legs));
    actions.emplace_back(std::move(delegation));
}

std::vector<std::size_t> ForwardEngine::takeDelegation(Request& request, DelegationId id)
{
    m_delegations.erase(id);
    auto node = request.delegations.extract(id);
    return node ? std::move(node.mapped()) : std::vector<std::size_t> {};
}

ForwardEngine::Request* ForwardEngine::findDelegatingRequest(DelegationId id)
{
    const auto it = m_delegations.find(id);
    return it == m_delegations.end() ? nullptr : find(it->second);
}

void ForwardEngine::cancelDelegations(Request& request, ForwardActions& actions)
{
    for (const auto& [id, legs] : std::exchange(request.delegations, {})) {
        m_delegations.erase(id);
        actions.emplace_back(CancelDelegation { id });
    }
}

bool ForwardEngine::isValid(const ForwardAnswer& answer, std::size_t shards)
{
    auto positions = answer.coveredShards;
    std::sort(positions.begin(), positions.end());
    const bool isUnique = std::adjacent_find(positions.begin(), positions.end()) == positions.end();
    return isUnique && (positions.empty() || positions.back() < shards) && answer.runs.size() == shards;
}

void ForwardEngine::onDelegationAnswered(DelegationId id, const ForwardAnswer& answer, TimePoint now, ForwardActions& actions)
{
    auto* request = findDelegatingRequest(id);
    if (!request)
        return;
    if (!isValid(answer, request->delegations.at(id).size())) {
        actions.emplace_back(LogForwardDecision { DecisionImportance::Failure, request->request.attemptId, "delegate answer rejected, legs taken back", "why=the parts do not match the delegated shards" });
        return onDelegationFailed(id, true, now, actions);
    }
    const auto legs = takeDelegation(*request, id);
    avoidTriedServers(*request, legs, answer, now);
    request->mayHaveRun = request->mayHaveRun || answer.kind != ForwardAnswerKind::NotRun;
    for (std::size_t i = 0; i < answer.coveredShards.size(); ++i) {
        ServerResponse part;
        part.signature = answer.signatures[i];
        // The delegate has merged the records of all its parts; the merged records are stored with the first part.
        if (i == 0)
            part.message.body = answer.message.body;
        acceptPart(*request, request->legs[legs[answer.coveredShards[i]]], part);
    }
    for (std::size_t i = 0; i < legs.size(); ++i)
        takeBackLeg(*request, legs[i], answer.runs[i], now, actions);
    review(*request, now, actions);
}

void ForwardEngine::avoidTriedServers(Request& request, const std::vector<std::size_t>& legs, const ForwardAnswer& answer, TimePoint now)
{
    for (std::size_t i = 0; i < legs.size(); ++i) {
        auto& leg = request.legs[legs[i]];
        const bool isCovered = std::find(answer.coveredShards.begin(), answer.coveredShards.end(), i) != answer.coveredShards.end();
        if (isCovered || answer.runs[i] == 0 || !leg.tried.empty())
            continue;
        // The delegate does not name the servers that it tried, but it chooses as this instance does.
        auto context = contextFor(request.route(), leg, now);
        context.isEstimate = true;
        const auto likely = pickServer(request, leg, context);
        if (likely && m_pool.hasUntriedServers(leg.service, { likely }))
            leg.tried.push_back(likely);
    }
}

bool ForwardEngine::onDelegationSilent(DelegationId id, TimePoint now, ForwardActions& actions)
{
    auto* request = findDelegatingRequest(id);
    if (!request)
        return true;
    // The delegate may still answer, so its legs are taken back only if the budget allows extra attempts now.
    const auto& legs = request->delegations.at(id);
    const bool mayTakeBack = std::all_of(legs.begin(), legs.end(), [&](std::size_t it) { return m_budgets[request->legs[it].service].hasExtra(now, budgetLimits()); });
    if (!mayTakeBack)
        return false;
    onDelegationFailed(id, true, now, actions);
    return true;
}

void ForwardEngine::onDelegationFailed(DelegationId id, bool mayHaveRun, TimePoint now, ForwardActions& actions)
{
    auto* request = findDelegatingRequest(id);
    if (!request)
        return;
    request->mayHaveRun = request->mayHaveRun || mayHaveRun;
    for (const auto index : takeDelegation(*request, id))
        takeBackLeg(*request, index, mayHaveRun ? request->legs[index].delegateRuns : 0, now, actions);
    review(*request, now, actions);
}

void ForwardEngine::onExtraAttemptsRequested(DelegationId id, const std::vector<std::uint32_t>& positions, ForwardActions& actions)
{
    auto* request = findDelegatingRequest(id);
    if (!request)
        return;
    const auto& legs = request->delegations.at(id);
    for (const auto it : positions) {
        if (it < legs.size())
            request->legs[legs[it]].delegateRuns = request->route().maxRuns;
    }
    actions.emplace_back(GrantExtraAttempts { id });
}

void ForwardEngine::requestExtraAttempts(Request& request, TimePoint now, ForwardActions& actions)
{
    if (now < request.requestExtraAt)
        return;
    request.requestExtraAt = never;
    RequestExtraAttempts action { request.request.number, {} };
    for (std::size_t i = 0; i < request.legs.size(); ++i) {
        if (isWaiting(request.legs[i]))
            action.positions.push_back(static_cast<std::uint32_t>(i));
    }
    actions.emplace_back(std::move(action));
}

void ForwardEngine::onExtraAttemptsGranted(RequestNumber number, TimePoint now, ForwardActions& actions)
{
    auto* request = find(number);
    if (!request)
        return;
    request->mayUseExtraAttempts = true;
    for (auto& leg : request->legs) {
        // A leg whose hedge came due, or whose attempt failed, before the grant.
        const bool isRetry = leg.stage == LegStage::Unsent && leg.mayHaveRun > 0;
        if (isRetry || (leg.stage == LegStage::Sent && leg.hedgeAt == never))
            leg.hedgeAt = now;
    }
    review(*request, now, actions);
}

bool ForwardEngine::awaitsGrant(const Request& request, const Leg& leg) const
{
    return !request.mayUseExtraAttempts && leg.mayHaveRun > 0 && !mayRunAgain(request, leg);
}

bool ForwardEngine::requestGrant(Request& request, Leg& leg, TimePoint now)
{
    const bool mayRunAfterGrant = request.route().isIdempotent && awaitsGrant(request, leg) && leg.mayHaveRun < request.route().maxRuns;
    if (!mayRunAfterGrant || !m_pool.hasUntriedServers(leg.service, leg.tried))
        return false;
    // The delegating instance may have a budget for the leg when this one has none.
    if (!m_budgets[leg.service].hasExtra(now, budgetLimits()))
        return false;
    if (request.requestExtraAt != never)
        request.requestExtraAt = now;
    leg.stage = LegStage::Unsent;
    leg.hedgeAt = now + maxGrantTime;
    return true;
}

void ForwardEngine::endSuspectRetries(Request& request, TimePoint now)
{
    // Legs in flight may still be served, and show that the content is none that crashes its servers.
    if (!request.request.isPart() || standingOf(request, now) == ContentStanding::Clear || hasAttemptInFlight(request))
        return;
    for (auto& leg : request.legs) {
        if (leg.stage == LegStage::Unsent && leg.mayHaveRun > 0)
            endLeg(request, leg, LegStage::Missing);
    }
}

void ForwardEngine::takeBackLeg(Request& request, std::size_t index, std::uint32_t runs, TimePoint now, ForwardActions& actions)
{
    auto& leg = request.legs[index];
    if (leg.stage != LegStage::Delegated)
        return;
    if (runs > 0) {
        // The leg may have reached servers, so the next attempt is an extra one.
        leg.isCounted = true;
        leg.arrivals = runs;
        leg.mayHaveRun = runs;
    }
    if (!mayRunAgain(request, leg))
        return endLeg(request, leg, LegStage::Missing);
    leg.stage = LegStage::Unsent;
    reviewLeg(request, index, now, actions);
}

}
