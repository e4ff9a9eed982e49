#include "admission/quota_client.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

namespace {

/// Weight of the past in the average of demand falls to 1/e within this time.
constexpr double demandSeconds = 1;
/// A call asks for the demand of this time ahead.
constexpr double aheadSeconds = 1.0 / 3;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

}

void QuotaClient::setTeams(const std::vector<Team>& teams, TimePoint now, QuotaActions& actions)
{
    std::unordered_map<TeamName, TeamState> states;
    for (const auto& it : teams) {
        if (!it.hasQuota())
            continue;
        auto known = m_teams.extract(it.name);
        auto& state = states[it.name];
        if (known)
            state = std::move(known.mapped());
        else
            state.ownPermitsAt = now;
        if (state.ratePerSecond != it.ratePerSecond || state.burst != it.burst)
            state.deniedUntil = {};
        state.ratePerSecond = it.ratePerSecond;
        state.burst = it.burst;
    }
    m_teams.swap(states);
    for (const auto& [team, state] : states) {
        for (const auto& it : state.waiting)
            admit(it, actions);
    }
}

std::vector<TeamName> QuotaClient::teams() const
{
    std::vector<TeamName> names;
    names.reserve(m_teams.size());
    for (const auto& [name, state] : m_teams)
        names.push_back(name);
    return names;
}

QuotaLimits QuotaClient::limitsOf(const TeamName& team) const
{
    const auto& state = m_teams.at(team);
    return quotaLimitsOf({ team, 0, state.ratePerSecond, state.burst }, m_settings);
}

float QuotaClient::demandOf(const TeamState& state, TimePoint now)
{
    return static_cast<float>(state.demand * std::exp(-seconds(now - state.demandAt) / demandSeconds));
}

std::uint32_t QuotaClient::askAhead(const TeamState& state, TimePoint now)
{
    return static_cast<std::uint32_t>(demandOf(state, now) * aheadSeconds);
}

void QuotaClient::onRequest(RequestNumber number, const TeamName& team, TimePoint now, QuotaActions& actions)
{
    const auto it = m_teams.find(team);
    if (it == m_teams.end())
        return admit(number, actions);
    auto& state = it->second;
    state.demand = demandOf(state, now) + static_cast<float>(1 / demandSeconds);
    state.demandAt = now;
    if (state.permits > 0 && now < state.permitsUntil) {
        --state.permits;
        admit(number, actions);
        if (state.permits == 0 && now >= state.deniedUntil && askAhead(state, now) > 0)
            ask(team, state);
        return;
    }
    if (now < state.deniedUntil)
        return refuse(number, state, now, actions);
    state.waiting.push_back(number);
    ask(team, state);
}

void QuotaClient::onCancel(RequestNumber number, const TeamName& team)
{
    const auto it = m_teams.find(team);
    if (it != m_teams.end())
        std::erase(it->second.waiting, number);
}

void QuotaClient::ask(const TeamName& team, TeamState& state)
{
    if (state.isAsked)
        return;
    state.isAsked = true;
    m_unasked.push_back(team);
}

std::vector<TeamName> QuotaClient::takeUnasked()
{
    return std::exchange(m_unasked, {});
}

void QuotaClient::appendWishes(const TeamName& team, bool isForKeeper, TimePoint now, std::vector<QuotaWish>& wishes) const
{
    const auto& state = m_teams.at(team);
    wishes.push_back({ team, static_cast<std::uint32_t>(state.waiting.size()), isForKeeper });
    if (const auto ahead = askAhead(state, now); ahead > 0)
        wishes.push_back({ team, ahead, isForKeeper });
}

void QuotaClient::admit(RequestNumber number, QuotaActions& actions)
{
    ++m_counters.admitted;
    actions.emplace_back(AdmitRequest { number });
}

void QuotaClient::refuse(RequestNumber number, const TeamState& state, TimePoint now, QuotaActions& actions)
{
    ++m_counters.refused;
    actions.emplace_back(RefuseRequest { number, state.deniedUntil - now, state.whyDenied });
}

void QuotaClient::onGrant(const QuotaGrant& grant, QuotaRefusal whyDenied, TimePoint sentAt, TimePoint now, QuotaActions& actions)
{
    const auto it = m_teams.find(grant.team);
    if (it == m_teams.end())
        return;
    auto& state = it->second;
    state.isAsked = false;
    // Permits of an earlier grant may outlive this one, so they are dropped rather than added.
    state.permits = grant.permits;
    state.permitsUntil = sentAt + grant.lifetime;
    state.whyDenied = whyDenied;
    if (grant.retryAfter > Duration {})
        state.deniedUntil = now + std::max(grant.retryAfter, minAskInterval);
    serveWaiting(grant.team, state, now, actions);
}

void QuotaClient::serveWaiting(const TeamName& team, TeamState& state, TimePoint now, QuotaActions& actions)
{
    const auto usable = now < state.permitsUntil ? state.permits : 0;
    const auto served = std::min<std::size_t>(usable, state.waiting.size());
    for (std::size_t i = 0; i < served; ++i)
        admit(state.waiting[i], actions);
    state.permits -= static_cast<std::uint32_t>(served);
    state.waiting.erase(state.waiting.begin(), state.waiting.begin() + static_cast<std::ptrdiff_t>(served));
    if (state.waiting.empty())
        return;
    if (now >= state.deniedUntil)
        return ask(team, state);
    for (const auto& it : state.waiting)
        refuse(it, state, now, actions);
    state.waiting.clear();
}

void QuotaClient::fallBack(const TeamName& team, double perWindow, TimePoint now, QuotaActions& actions)
{
    const auto it = m_teams.find(team);
    if (it == m_teams.end())
        return;
    auto& state = it->second;
    state.isAsked = false;
    // A bucket of half the permits that refills once in a window gives at most all of them in any window.
    const auto capacity = perWindow < 1 ? 0.0 : std::max(1.0, std::floor(perWindow / 2));
    const auto refilled = state.ownPermits + seconds(now - state.ownPermitsAt) / seconds(m_settings.quotaWindow) * capacity;
    state.ownPermits = static_cast<float>(std::min(capacity, refilled));
    state.ownPermitsAt = now;
    const auto permits = std::min<std::size_t>(static_cast<std::size_t>(state.ownPermits), state.waiting.size());
    state.ownPermits -= static_cast<float>(permits);
    state.permits = static_cast<std::uint32_t>(permits);
    state.permitsUntil = now + Duration(1);
    state.whyDenied = QuotaRefusal::NotGranted;
    if (permits < state.waiting.size())
        state.deniedUntil = now + minAskInterval;
    serveWaiting(team, state, now, actions);
}

}
