#include "admission/quota_engine.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// Time within which all other instances have listed a change that this one has listed: they list every 10 s with jitter.
constexpr Duration listedWithin = 12500ms;
/// An instance whose list is older may be missing in the lists of others, who then have another keeper.
constexpr Duration maxListAge = 110s;
constexpr Duration replyTimeout = 40ms;
/// Of an instance that hasn't answered yet or failed last: the connection to it may have to be opened.
constexpr Duration firstReplyTimeout = 80ms;
/// A timer that is late by more than this shows that the process was stalled.
constexpr Duration minStall = 4ms;
/// After a stall: the time to read a reply that may have arrived meanwhile.
constexpr Duration stallGrace = 12ms;
/// After a standby's denial for longer, the keeper may answer again.
constexpr Duration maxStandbyDenial = 1s;
constexpr Duration tick = 1s;
/// Without an event for this time, in spite of the ticks, the process was paused.
constexpr Duration minPause = 3s;

}

QuotaEngine::QuotaEngine(InstanceName self, const AdmissionSettings& settings)
    : m_self(std::move(self))
    , m_client(settings)
{
}

void QuotaEngine::observe(TimePoint now)
{
    // Without a role there are no ticks, and their absence shows no pause.
    const bool isPause = !m_roles.empty() && m_lastEvent != never && now - m_lastEvent > minPause;
    if (isPause) {
        m_wasPaused = true;
        m_resumedAt = now;
    }
    m_lastEvent = now;
}

bool QuotaEngine::mayGrant(TimePoint now) const
{
    return !m_wasPaused && m_viewAt != never && now < m_viewAt + maxListAge;
}

QuotaRole QuotaEngine::roleFor(const TeamName& team) const
{
    const auto it = m_roles.find(team);
    return it == m_roles.end() ? QuotaRole::None : it->second;
}

void QuotaEngine::setTeams(const std::vector<Team>& teams, TimePoint now, QuotaActions& actions)
{
    observe(now);
    m_client.setTeams(teams, now, actions);
    m_ranking.setTeams(m_client.teams());
    for (auto it = m_roles.begin(); it != m_roles.end();) {
        if (m_client.contains(it->first)) {
            m_keeper.setLimits(it->first, m_client.limitsOf(it->first), now);
            ++it;
            continue;
        }
        m_keeper.remove(it->first);
        it = m_roles.erase(it);
    }
    updateRoles(std::max(now, m_grantsFrom));
}

void QuotaEngine::setInstances(const std::vector<Instance>& instances, bool hadPredecessor, TimePoint askedAt, TimePoint now)
{
    observe(now);
    const bool isFirst = std::exchange(m_viewAt, askedAt) == never;
    // A list that was asked for before a pause may be as old as the pause.
    m_wasPaused = m_wasPaused && askedAt < m_resumedAt;
    if (!m_ranking.setInstances(instances))
        return;
    m_backoff.keepOnly(m_ranking.candidates());
    m_grantsFrom = isFirst && hadPredecessor ? now : now + listedWithin;
    updateRoles(m_grantsFrom);
}

std::set<InstanceName> QuotaEngine::keepers() const
{
    auto names = m_ranking.candidates();
    names.erase(m_self);
    return names;
}

void QuotaEngine::updateRoles(TimePoint grantsFrom)
{
    for (const auto& team : m_client.teams()) {
        const auto keepers = m_ranking.keepersOf(team);
        auto role = QuotaRole::None;
        if (keepers.keeper && *keepers.keeper == m_self)
            role = QuotaRole::Keeper;
        else if (keepers.standby && *keepers.standby == m_self)
            role = QuotaRole::Standby;
        if (role == roleFor(team))
            continue;
        m_keeper.setRole(team, role, grantsFrom);
        if (role == QuotaRole::None) {
            m_roles.erase(team);
            continue;
        }
        m_roles[team] = role;
        m_keeper.setLimits(team, m_client.limitsOf(team), grantsFrom);
    }
}

void QuotaEngine::onRequest(RequestNumber number, const TeamName& team, TimePoint now, QuotaActions& actions)
{
    observe(now);
    m_client.onRequest(number, team, now, actions);
    askAll(now, actions);
}

void QuotaEngine::askAll(TimePoint now, QuotaActions& actions)
{
    while (true) {
        const auto unasked = m_client.takeUnasked();
        if (unasked.empty())
            return;
        AskedByInstance asked;
        for (const auto& it : unasked)
            choose(it, Choice::Keeper, now, asked, actions);
        for (auto& [instance, teams] : asked)
            send(instance, std::move(teams), now, actions);
    }
}

void QuotaEngine::choose(const TeamName& team, Choice from, TimePoint now, AskedByInstance& asked, QuotaActions& actions)
{
    if (!m_client.contains(team))
        return;
    const auto keepers = m_ranking.keepersOf(team);
    const auto mayAsk = [&](const InstanceName* name) { return name && (*name == m_self || m_backoff.mayAsk(*name, now)); };
    if (from == Choice::Keeper && mayAsk(keepers.keeper)) {
        asked[*keepers.keeper].push_back({ team, Choice::Keeper });
        return;
    }
    ++m_client.m_counters.fallback;
    if (from != Choice::Own && mayAsk(keepers.standby)) {
        asked[*keepers.standby].push_back({ team, Choice::Standby });
        return;
    }
    m_client.fallBack(team, ownPermits(team), now, actions);
}

double QuotaEngine::ownPermits(const TeamName& team) const
{
    if (m_ranking.instances() == 0)
        return 0;
    const auto all = m_client.limitsOf(team).ownPermits;
    const auto share = all / static_cast<double>(m_ranking.instances());
    if (share >= 1)
        return share;
    return static_cast<double>(m_ranking.rankOf(team, m_self)) + 1 <= all ? 1 : 0;
}

void QuotaEngine::send(const InstanceName& instance, std::vector<AskedTeam> teams, TimePoint now, QuotaActions& actions)
{
    QuotaCall call { ++m_lastSequence, {} };
    for (const auto& it : teams)
        m_client.appendWishes(it.team, now, call.wishes);
    m_client.m_counters.asked += teams.size();
    const auto timeout = m_backoff.hasAnswered(instance) ? replyTimeout : firstReplyTimeout;
    Call sent { instance, now, now + timeout, false, std::move(teams) };
    if (instance == m_self)
        return applyReply(sent, mayGrant(now) ? m_keeper.answer(call, now) : QuotaReply { call.sequence, {} }, now, actions);
    m_calls.emplace(call.sequence, std::move(sent));
    actions.emplace_back(AskKeeper { instance, std::move(call) });
}

void QuotaEngine::onCall(const InstanceName& from, const QuotaCall& call, TimePoint now, QuotaActions& actions)
{
    observe(now);
    actions.emplace_back(AnswerCall { from, mayGrant(now) ? m_keeper.answer(call, now) : QuotaReply { call.sequence, {} } });
}

void QuotaEngine::onReply(const InstanceName& from, const QuotaReply& reply, TimePoint now, QuotaActions& actions)
{
    observe(now);
    const auto it = m_calls.find(reply.sequence);
    if (it == m_calls.end() || it->second.instance != from)
        return;
    m_backoff.recordAnswer(from);
    const auto call = std::move(it->second);
    m_calls.erase(it);
    applyReply(call, reply, now, actions);
    askAll(now, actions);
}

void QuotaEngine::applyReply(const Call& call, const QuotaReply& reply, TimePoint now, QuotaActions& actions)
{
    std::vector<AskedTeam> notKept;
    for (const auto& asked : call.teams) {
        const auto grant = std::find_if(reply.grants.begin(), reply.grants.end(), [&](const auto& it) { return it.team == asked.team; });
        if (grant == reply.grants.end()) {
            notKept.push_back(asked);
            continue;
        }
        auto granted = *grant;
        if (asked.choice == Choice::Standby)
            granted.retryAfter = std::min(granted.retryAfter, maxStandbyDenial);
        m_client.onGrant(granted, call.sentAt, now, actions);
    }
    passOver(notKept, now, actions);
}

void QuotaEngine::passOver(const std::vector<AskedTeam>& teams, TimePoint now, QuotaActions& actions)
{
    AskedByInstance next;
    for (const auto& it : teams)
        choose(it.team, it.choice == Choice::Keeper ? Choice::Standby : Choice::Own, now, next, actions);
    for (auto& [instance, asked] : next)
        send(instance, std::move(asked), now, actions);
}

void QuotaEngine::fail(std::uint64_t sequence, TimePoint now, QuotaActions& actions)
{
    const auto call = std::move(m_calls.extract(sequence).mapped());
    m_backoff.recordFailure(call.instance, now);
    passOver(call.teams, now, actions);
}

void QuotaEngine::onUndelivered(std::uint64_t sequence, TimePoint now, QuotaActions& actions)
{
    observe(now);
    if (m_calls.contains(sequence))
        fail(sequence, now, actions);
    askAll(now, actions);
}

void QuotaEngine::onNotSent(std::uint64_t sequence, TimePoint now, QuotaActions& actions)
{
    observe(now);
    if (const auto it = m_calls.find(sequence); it != m_calls.end()) {
        const auto call = std::move(m_calls.extract(it).mapped());
        m_backoff.recordNotSent(call.instance, now);
        passOver(call.teams, now, actions);
    }
    askAll(now, actions);
}

void QuotaEngine::onTimer(TimePoint now, QuotaActions& actions)
{
    observe(now);
    std::vector<std::uint64_t> late;
    for (auto& [sequence, call] : m_calls) {
        if (now < call.deadline)
            continue;
        const bool wasStalled = now > call.deadline + minStall;
        if (wasStalled && !std::exchange(call.isExtended, true))
            call.deadline = now + stallGrace;
        else
            late.push_back(sequence);
    }
    for (const auto& it : late)
        fail(it, now, actions);
    askAll(now, actions);
}

TimePoint QuotaEngine::nextWake() const
{
    auto wake = m_roles.empty() ? never : m_lastEvent + tick;
    for (const auto& [sequence, call] : m_calls)
        wake = std::min(wake, call.deadline);
    return wake;
}

}
