#include "forward/forward_engine.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// The first sends of one in so many calls earn the budget of the instance that asks, for the legs that come back to it.
constexpr std::uint64_t askerEarnsOneOf = 3;
/// Another instance that neither answered nor wants second sends so long after it should have is silent.
constexpr Duration silenceMargin = 25ms;
/// The parts of others should be here so long before the answer: both instances need time to merge them.
constexpr Duration mergeMargin = 8ms;
/// Processor time of a whole core that one leg takes, sent and read.
constexpr Duration legProcessorTime = 90us;
/// Part of the target latency that an instance may spend on the legs of one search.
constexpr double processorPartOfTarget = 0.08;
/// Legs that one instance is asked for at once, when a search is cut into groups.
constexpr std::size_t legsPerGroup = 12;

}

bool delegateEarnsBudget(DelegationId id)
{
    return id.value() % askerEarnsOneOf != 0;
}

void ForwardEngine::giveLegs(Request& request, TimePoint now, ForwardActions& actions)
{
    if (!m_relays || request.request.isPart())
        return;
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t i = 0; i < request.legs.size(); ++i) {
        const auto& service = request.legs[i].service;
        if (m_pool.hasServersIn(service, m_settings.zone))
            near.push_back(i);
        else if (m_pool.hasServers(service))
            far.push_back(i);
    }
    giveFarLegs(request, std::move(far), now, actions);
    if (near.size() > mostLegsHere(request.route()))
        askInGroups(request, m_settings.zone, near, now, actions);
}

std::size_t ForwardEngine::mostLegsHere(const Route& route) const
{
    return static_cast<std::size_t>(scaled(route.targetLatency, processorPartOfTarget * m_settings.cores.value) / legProcessorTime);
}

void ForwardEngine::giveFarLegs(Request& request, std::vector<std::size_t> legs, TimePoint now, ForwardActions& actions)
{
    while (!legs.empty()) {
        std::vector<ZoneCoverage> coverage;
        for (const auto& zone : m_relays->zones()) {
            ZoneCoverage covered { zone, 0 };
            for (const auto it : legs)
                covered.shards += m_pool.hasServersIn(request.legs[it].service, zone) ? 1 : 0;
            coverage.push_back(std::move(covered));
        }
        const auto choice = m_relays->choose(coverage, now);
        if (!choice)
            return;
        const auto isThere = [&](std::size_t it) { return m_pool.hasServersIn(request.legs[it].service, choice->zone); };
        std::vector<std::size_t> there;
        std::copy_if(legs.begin(), legs.end(), std::back_inserter(there), isThere);
        std::erase_if(legs, isThere);
        if (there.size() > legsPerGroup)
            askInGroups(request, choice->zone, there, now, actions);
        else
            ask(request, choice->instance, std::move(there), now, actions);
    }
}

void ForwardEngine::askInGroups(Request& request, const ZoneName& zone, const std::vector<std::size_t>& legs, TimePoint now, ForwardActions& actions)
{
    const auto count = (legs.size() + legsPerGroup - 1) / legsPerGroup;
    std::vector<std::vector<std::size_t>> groups(count);
    for (const auto it : legs)
        groups[it * count / request.legs.size()].push_back(it);
    for (std::size_t i = 0; i < count; ++i) {
        if (groups[i].size() < DelegateChooser::minShards)
            continue;
        const auto instance = m_relays->instanceFor(zone, { i, count }, now);
        if (instance && *instance != m_relays->self())
            ask(request, *instance, std::move(groups[i]), now, actions);
    }
}

void ForwardEngine::ask(Request& request, const InstanceName& instance, std::vector<std::size_t> legs, TimePoint now, ForwardActions& actions)
{
    const DelegationId id { ++m_lastAsk };
    DelegateShards ask { id, instance, request.request, {}, request.answerBy - mergeMargin, maxHedgeDelay(request.route()) + silenceMargin };
    ask.request.deadline = request.deadline;
    for (const auto it : legs) {
        auto& leg = request.legs[it];
        leg.stage = LegStage::Relayed;
        leg.relayRuns = 1;
        if (!delegateEarnsBudget(id)) {
            m_budgets[leg.service].noteFirst(now, m_settings.retryWindow);
            leg.isCounted = true;
        }
        ask.shards.push_back(leg.service);
    }
    m_counters.relayedLegs += legs.size();
    m_asks.emplace(id, request.request.number);
    request.asks.emplace(id, std::move(legs));
    actions.emplace_back(std::move(ask));
}

std::vector<std::size_t> ForwardEngine::takeAsk(Request& request, DelegationId id)
{
    m_asks.erase(id);
    auto node = request.asks.extract(id);
    return node ? std::move(node.mapped()) : std::vector<std::size_t> {};
}

ForwardEngine::Request* ForwardEngine::findAsker(DelegationId id)
{
    const auto it = m_asks.find(id);
    return it == m_asks.end() ? nullptr : find(it->second);
}

void ForwardEngine::endRelays(Request& request, ForwardActions& actions)
{
    for (const auto& [id, legs] : std::exchange(request.asks, {})) {
        m_asks.erase(id);
        actions.emplace_back(CancelDelegation { id });
    }
}

bool ForwardEngine::isSound(const ForwardAnswer& answer, std::size_t asked)
{
    auto positions = answer.coveredShards;
    std::sort(positions.begin(), positions.end());
    const bool isUnique = std::adjacent_find(positions.begin(), positions.end()) == positions.end();
    return isUnique && (positions.empty() || positions.back() < asked) && answer.runs.size() == asked;
}

void ForwardEngine::onDelegationAnswered(DelegationId id, const ForwardAnswer& answer, TimePoint now, ForwardActions& actions)
{
    auto* request = findAsker(id);
    if (!request)
        return;
    if (!isSound(answer, request->asks.at(id).size())) {
        actions.emplace_back(LogForwardDecision { DecisionImportance::Failure, request->request.attemptId, "parts of another instance refused", "why=they are not what it was asked for" });
        return onDelegationFailed(id, true, now, actions);
    }
    const auto legs = takeAsk(*request, id);
    request->mayHaveRun = true;
    for (std::size_t i = 0; i < answer.coveredShards.size(); ++i) {
        ServerResponse part;
        part.signature = answer.signatures[i];
        // The records of all these parts are merged already: they come with the first.
        if (i == 0)
            part.message.body = answer.message.body;
        acceptPart(*request, request->legs[legs[answer.coveredShards[i]]], part);
    }
    for (std::size_t i = 0; i < legs.size(); ++i)
        returnLeg(*request, legs[i], answer.runs[i], now, actions);
    review(*request, now, actions);
}

bool ForwardEngine::onDelegationSilent(DelegationId id, TimePoint now, ForwardActions& actions)
{
    auto* request = findAsker(id);
    if (!request)
        return true;
    // Its answer may still come. The legs are taken back only if second sends are allowed now.
    const auto& legs = request->asks.at(id);
    const bool maySend = std::all_of(legs.begin(), legs.end(), [&](std::size_t it) { return m_budgets[request->legs[it].service].hasExtra(now, budgetLimits()); });
    if (!maySend)
        return false;
    onDelegationFailed(id, true, now, actions);
    return true;
}

void ForwardEngine::onDelegationFailed(DelegationId id, bool mayHaveRun, TimePoint now, ForwardActions& actions)
{
    auto* request = findAsker(id);
    if (!request)
        return;
    request->mayHaveRun = request->mayHaveRun || mayHaveRun;
    for (const auto index : takeAsk(*request, id))
        returnLeg(*request, index, mayHaveRun ? request->legs[index].relayRuns : 0, now, actions);
    review(*request, now, actions);
}

void ForwardEngine::onExtraAttemptsRequested(DelegationId id, const std::vector<std::uint32_t>& positions, ForwardActions& actions)
{
    auto* request = findAsker(id);
    if (!request)
        return;
    const auto& legs = request->asks.at(id);
    for (const auto it : positions) {
        if (it < legs.size())
            request->legs[legs[it]].relayRuns = request->route().maxRuns;
    }
    actions.emplace_back(GrantExtraAttempts { id });
}

void ForwardEngine::wantSecondSends(Request& request, TimePoint now, ForwardActions& actions)
{
    if (now < request.wantAt)
        return;
    request.wantAt = never;
    RequestExtraAttempts want { request.request.number, {} };
    for (std::size_t i = 0; i < request.legs.size(); ++i) {
        if (isWaiting(request.legs[i]))
            want.positions.push_back(static_cast<std::uint32_t>(i));
    }
    actions.emplace_back(std::move(want));
}

void ForwardEngine::onExtraAttemptsGranted(RequestNumber number, TimePoint now, ForwardActions& actions)
{
    auto* request = find(number);
    if (!request)
        return;
    request->mayUseExtraAttempts = true;
    for (auto& leg : request->legs) {
        if (leg.stage == LegStage::Sent)
            leg.hedgeAt = now;
    }
    review(*request, now, actions);
}

void ForwardEngine::returnLeg(Request& request, std::size_t index, std::uint32_t runs, TimePoint now, ForwardActions& actions)
{
    auto& leg = request.legs[index];
    if (leg.stage != LegStage::Relayed)
        return;
    if (runs > 0) {
        // Servers may have it: what is sent from here is an extra send.
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
