#include "forward/forward_engine.h"

#include <utility>

namespace lycheefield {

namespace {

/// The first sends of one in so many calls earn the budget of the instance that asks, for the legs that come back to it.
constexpr std::uint64_t askerEarnsOneOf = 3;

}

bool relayEarnsBudget(RequestNumber number)
{
    return number.value() % askerEarnsOneOf != 0;
}

void ForwardEngine::giveLegs(Request& request, TimePoint now, ForwardActions& actions)
{
    if (!m_relays || request.request.isPart())
        return;
    std::vector<std::size_t> far;
    for (std::size_t i = 0; i < request.legs.size(); ++i) {
        const auto& service = request.legs[i].service;
        if (m_pool.hasServers(service) && !m_pool.hasServersIn(service, m_settings.zone))
            far.push_back(i);
    }
    std::vector<ZoneCoverage> coverage;
    for (const auto& zone : m_relays->zones()) {
        ZoneCoverage covered { zone, 0 };
        for (const auto it : far)
            covered.shards += m_pool.hasServersIn(request.legs[it].service, zone) ? 1 : 0;
        coverage.push_back(std::move(covered));
    }
    const auto choice = m_relays->choose(coverage, now);
    if (!choice)
        return;
    AskRelay ask { choice->instance, request.request, {}, request.answerBy };
    ask.request.deadline = request.deadline;
    for (const auto it : far) {
        if (!m_pool.hasServersIn(request.legs[it].service, choice->zone))
            continue;
        request.legs[it].stage = LegStage::Relayed;
        if (!relayEarnsBudget(request.request.number)) {
            m_budgets[request.legs[it].service].noteFirst(now, m_settings.retryWindow);
            request.legs[it].isCounted = true;
        }
        request.relayed.push_back(it);
        ask.shards.push_back(request.legs[it].service);
    }
    m_counters.relayedLegs += ask.shards.size();
    actions.emplace_back(std::move(ask));
}

void ForwardEngine::endRelay(Request& request, ForwardActions& actions)
{
    if (!std::exchange(request.relayed, {}).empty())
        actions.emplace_back(EndRelay { request.request.number });
}

void ForwardEngine::onRelayed(RequestNumber number, const ForwardAnswer& answer, TimePoint now, ForwardActions& actions)
{
    auto* request = find(number);
    if (!request)
        return;
    const auto relayed = std::exchange(request->relayed, {});
    request->mayHaveRun = true;
    for (std::size_t i = 0; i < answer.coveredShards.size(); ++i) {
        const auto position = answer.coveredShards[i];
        if (position >= relayed.size() || request->legs[relayed[position]].stage != LegStage::Relayed)
            continue;
        ServerReply part;
        part.signature = answer.signatures[i];
        // The records of all these parts are merged already: they come with the first.
        if (i == 0)
            part.message.body = answer.message.body;
        acceptPart(*request, request->legs[relayed[position]], part);
    }
    for (std::size_t i = 0; i < relayed.size(); ++i)
        returnLeg(*request, relayed[i], i < answer.runs.size() ? answer.runs[i] : request->route().maxRuns, now, actions);
    review(*request, now, actions);
}

void ForwardEngine::onRelayFailed(RequestNumber number, bool mayHaveRun, TimePoint now, ForwardActions& actions)
{
    auto* request = find(number);
    if (!request)
        return;
    request->mayHaveRun = request->mayHaveRun || mayHaveRun;
    for (const auto index : std::exchange(request->relayed, {}))
        returnLeg(*request, index, mayHaveRun ? request->route().maxRuns : 0, now, actions);
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
