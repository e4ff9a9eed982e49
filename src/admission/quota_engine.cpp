#include "admission/quota_engine.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr Duration replyTimeout = 40ms;
/// Of an instance that hasn't answered yet or failed last: the connection to it may have to be opened.
constexpr Duration firstReplyTimeout = 80ms;
/// A timer that is late by more than this shows that the process was stalled.
constexpr Duration minStall = 4ms;
/// After a stall: the time to read a reply that may have arrived meanwhile.
constexpr Duration stallGrace = 12ms;
/// After a standby's denial for longer, the keeper may answer again.
constexpr Duration maxStandbyDenial = 1s;
/// An instance with an older list uses no permits of its own, as it may lack instances that use some.
constexpr Duration maxOwnListAge = RoleClaims::roleLifetime;
/// A list may be a copy from some seconds before it was asked for.
constexpr Duration maxCopyAge = 10s;
/// A call for the keeper shows that the caller's list is another one only if the list here is older than this.
constexpr Duration minHintAge = 1s;
constexpr Duration tick = 1s;
/// Without an event for this time, in spite of the ticks, the process was paused.
constexpr Duration minPause = 3s;

}

QuotaEngine::QuotaEngine(InstanceName self, const AdmissionSettings& settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_client(settings)
    , m_claims(m_self, seed >> 2, *this)
    , m_listingPace(listingPace(seed))
    , m_listingPause(minListingPause)
{
}

void QuotaEngine::onRoleGained(const TeamRole& role, const QuotaCredit& credit, TimePoint now)
{
    m_keeper.start(role, m_client.limitsOf(role.team), credit, now);
    m_roleChanges.push_back({ role, true, credit });
}

QuotaCredit QuotaEngine::onRoleLost(const TeamRole& role, TimePoint now)
{
    const auto credit = m_keeper.stop(role, now);
    m_roleChanges.push_back({ role, false, credit });
    return credit;
}

bool QuotaEngine::endsPause(TimePoint now) const
{
    // Without a role there are no ticks, and their absence shows no pause.
    return m_claims.hasAny() && m_lastEvent != never && now - m_lastEvent > minPause;
}

void QuotaEngine::observe(TimePoint now)
{
    if (endsPause(now)) {
        m_wasPaused = true;
        m_resumedAt = now;
        m_claims.requireListing();
    }
    m_lastEvent = now;
    m_claims.onTimer(now);
}

void QuotaEngine::setTeams(const std::vector<Team>& teams, TimePoint now, QuotaActions& actions)
{
    observe(now);
    const auto known = m_client.teams();
    m_client.setTeams(teams, now, actions);
    m_ranking.setTeams(m_client.teams());
    for (const auto& it : known) {
        if (m_client.contains(it)) {
            m_keeper.setLimits(it, m_client.limitsOf(it), now);
            continue;
        }
        m_claims.giveUp(it, now);
        m_lastGranters.erase(it);
    }
    m_claims.setWanted(resigned(), wantedRoles());
    flushClaims(now, actions);
}

void QuotaEngine::setInstances(const InstanceListing& listing, TimePoint now, QuotaActions& actions)
{
    observe(now);
    // A list that was asked for before a pause may be as old as the pause.
    if (m_wasPaused && listing.isLatest && listing.askedAt >= m_resumedAt) {
        m_wasPaused = false;
        // Its object may have been removed before the store came back from a copy, both during the pause.
        if (!listing.holdsSelf)
            m_claims.giveUpAll(now);
    }
    m_instances = listing.instances;
    m_rankedRevision = listing.revision;
    m_listedAt = listing.askedAt;
    if (listing.holdsSelf)
        m_listedSince = std::min(m_listedSince, now);
    // A resignation ends with the process.
    std::erase_if(m_resigned, [&](const auto& it) { return std::none_of(m_instances.begin(), m_instances.end(), [&](const auto& listed) { return listed.name == it.first && listed.life == it.second; }); });
    m_mayKeep = m_mayKeep || listing.isSettled || std::any_of(m_instances.begin(), m_instances.end(), [&](const auto& it) { return it.name == m_self; });
    m_leaving.clear();
    for (const auto& [name, declared] : listing.declared) {
        if (declared.isLeaving)
            m_leaving.insert(name);
    }
    const auto wanted = rank();
    m_claims.setListing(listing, resigned(), wanted, now);
    flushClaims(now, actions);
}

std::set<InstanceName> QuotaEngine::keepers() const
{
    auto names = m_ranking.candidates();
    names.erase(m_self);
    return names;
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

const InstanceName* QuotaEngine::instanceFor(const TeamRole& role, TimePoint now) const
{
    // A claim by a later list tells more than the list here.
    if (const auto* claim = m_claims.claimOf(role, now); claim && claim->revision > m_rankedRevision)
        return &claim->claimant;
    const auto keepers = m_ranking.keepersOf(role.team);
    return role.role == QuotaRole::Keeper ? keepers.keeper : keepers.standby;
}

const InstanceName* QuotaEngine::instanceFor(const TeamName& team, Choice choice, TimePoint now) const
{
    const auto* keeper = instanceFor({ team, QuotaRole::Keeper }, now);
    if (choice == Choice::Keeper)
        return keeper;
    if (choice == Choice::Standby)
        return instanceFor({ team, QuotaRole::Standby }, now);
    const auto last = m_lastGranters.find(team);
    const bool isFormer = last != m_lastGranters.end() && (!keeper || last->second != *keeper);
    return isFormer ? &last->second : nullptr;
}

void QuotaEngine::choose(const TeamName& team, Choice from, TimePoint now, AskedByInstance& asked, QuotaActions& actions)
{
    if (!m_client.contains(team))
        return;
    for (const auto choice : { Choice::Keeper, Choice::FormerKeeper, Choice::Standby }) {
        if (choice < from)
            continue;
        const auto* name = instanceFor(team, choice, now);
        if (!name || (*name != m_self && !m_backoff.mayAsk(*name, now)))
            continue;
        if (choice == Choice::Standby)
            ++m_client.m_counters.fallback;
        asked[*name].push_back({ team, choice });
        return;
    }
    ++m_client.m_counters.fallback;
    m_client.fallBack(team, ownPermits(team, now), now, actions);
}

double QuotaEngine::ownPermits(const TeamName& team, TimePoint now) const
{
    const bool isListedByAll = m_listedSince != never && now >= m_listedSince + maxOwnListAge + maxCopyAge;
    if (!isListedByAll || now >= m_listedAt + maxOwnListAge || m_ranking.instances() == 0)
        return 0;
    // The others don't count a process that resigns, and may count one that is presumed gone here.
    if (m_isResigning || !m_gone.empty())
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
        m_client.appendWishes(it.team, it.choice != Choice::Standby, now, call.wishes);
    m_client.m_counters.asked += teams.size();
    const auto timeout = m_backoff.hasAnswered(instance) ? replyTimeout : firstReplyTimeout;
    Call sent { instance, now, now + timeout, false, std::move(teams) };
    if (instance == m_self)
        return applyReply(sent, answerFor(call, now), now, actions);
    m_calls.emplace(call.sequence, std::move(sent));
    actions.emplace_back(AskKeeper { instance, std::move(call) });
}

void QuotaEngine::onCall(const InstanceName& from, const QuotaCall& call, TimePoint now, QuotaActions& actions)
{
    observe(now);
    m_claims.onSignOfLife(from, now);
    actions.emplace_back(AnswerCall { from, answerFor(call, now) });
    if (!isNamedByLaterList(call, now))
        return;
    m_claims.requireListing();
    flushClaims(now, actions);
}

QuotaReply QuotaEngine::answerFor(const QuotaCall& call, TimePoint now)
{
    return m_wasPaused ? QuotaReply { call.sequence, {} } : m_keeper.answer(call, now);
}

bool QuotaEngine::isNamedByLaterList(const QuotaCall& call, TimePoint now) const
{
    if (now < m_listedAt + minHintAge)
        return false;
    return std::any_of(call.wishes.begin(), call.wishes.end(), [&](const auto& it) { return it.isForKeeper && m_client.contains(it.team) && !m_claims.has({ it.team, QuotaRole::Keeper }, now); });
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
            if (asked.choice == Choice::FormerKeeper)
                m_lastGranters.erase(asked.team);
            notKept.push_back(asked);
            continue;
        }
        auto granted = *grant;
        if (asked.choice == Choice::Standby)
            granted.retryAfter = std::min(granted.retryAfter, maxStandbyDenial);
        else
            m_lastGranters[asked.team] = call.instance;
        const auto whyDenied = asked.choice == Choice::Standby ? QuotaRefusal::PartGranted : QuotaRefusal::OverQuota;
        m_client.onGrant(granted, whyDenied, call.sentAt, now, actions);
    }
    passOver(notKept, now, actions);
}

void QuotaEngine::passOver(const std::vector<AskedTeam>& teams, TimePoint now, QuotaActions& actions)
{
    AskedByInstance next;
    for (const auto& it : teams)
        choose(it.team, static_cast<Choice>(static_cast<std::uint8_t>(it.choice) + 1), now, next, actions);
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
    reportWaits(now, actions);
    flushClaims(now, actions);
}

TimePoint QuotaEngine::nextWake() const
{
    auto wake = m_claims.hasAny() ? std::min(m_lastEvent + tick, m_claims.nextWake()) : m_claims.nextWake();
    if (m_claims.needsListing())
        wake = std::min(wake, m_nextListing);
    wake = std::min(wake, m_declareAt);
    for (const auto& [sequence, call] : m_calls)
        wake = std::min(wake, call.deadline);
    return wake;
}

}
