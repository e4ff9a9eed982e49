#include "admission/quota_engine.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr Duration maxListingPause = 8s;
/// Processes that claim the same role by the same list pause for different times, so that one of them reads a later list.
constexpr double minPace = 0.6;
constexpr double maxPace = 1.2;
constexpr std::uint64_t paceSteps = 1024;
/// Between two requests for the same declaration.
constexpr Duration declarationPause = 500ms;
/// Roles often change several times while a fleet starts.
constexpr Duration narrowingDelay = 2s;
/// A claim is usually answered within a round trip.
constexpr Duration minReportedWait = 1s;
constexpr Duration waitReportPeriod = 10s;

}

double QuotaEngine::listingPace(std::uint64_t seed)
{
    return minPace + (maxPace - minPace) * static_cast<double>(seed % paceSteps) / paceSteps;
}

void QuotaEngine::flushClaims(TimePoint now, QuotaActions& actions)
{
    for (auto& it : m_claims.takeDue(now))
        actions.emplace_back(SendClaim { std::move(it) });
    for (const auto& it : std::exchange(m_roleChanges, {}))
        actions.emplace_back(it);
    requestDeclaration(now, actions);
    if (!m_claims.needsListing()) {
        m_listingPause = minListingPause;
        return;
    }
    if (now < m_nextListing)
        return;
    m_nextListing = now + scaled(m_listingPause, m_listingPace);
    m_listingPause = std::min(maxListingPause, m_listingPause * 2);
    actions.emplace_back(ListInstances {});
}

void QuotaEngine::requestDeclaration(TimePoint now, QuotaActions& actions)
{
    if (m_isResigning && hasQuotas() && declaration() != m_requested) {
        // The process may end before a later one.
        m_declareAt = now;
    } else if (m_claims.needsDeclaration()) {
        const bool isRepeated = declaration() == m_requested;
        m_declareAt = std::min(m_declareAt, isRepeated ? std::max(now, m_requestedAt + declarationPause) : now);
        // A list that is read before the declaration doesn't show it; the one after it is read at once.
        if (!isRepeated)
            m_nextListing = std::max(m_nextListing, now + minListingPause);
    } else if (!m_claims.isDeclarationTooWide()) {
        m_declareAt = never;
    } else if (m_declareAt == never) {
        m_declareAt = now + narrowingDelay;
    }
    if (now < m_declareAt)
        return;
    m_declareAt = never;
    m_requestedAt = now;
    m_requested = declaration();
    actions.emplace_back(DeclareRoles {});
}

void QuotaEngine::reportWaits(TimePoint now, QuotaActions& actions)
{
    if (now < m_nextWaitReport)
        return;
    for (auto& it : m_claims.waits()) {
        if (now < it.since + minReportedWait)
            continue;
        actions.emplace_back(ReportRoleWait { std::move(it) });
        m_nextWaitReport = now + waitReportPeriod;
    }
}

void QuotaEngine::setGone(const std::set<InstanceName>& gone, TimePoint now, QuotaActions& actions)
{
    observe(now);
    if (gone == m_gone)
        return;
    m_gone = gone;
    const auto wanted = rank();
    m_claims.setWanted(resigned(), wanted);
    m_claims.setGone(m_gone, now);
    flushClaims(now, actions);
}

void QuotaEngine::onObjectLost(TimePoint now, QuotaActions& actions)
{
    observe(now);
    m_claims.giveUpAll(now);
    flushClaims(now, actions);
}

std::set<TeamRole> QuotaEngine::rank()
{
    auto instances = m_instances;
    const auto isEnding = [&](const InstanceName& name) { return m_resigned.contains(name) || m_leaving.contains(name); };
    std::erase_if(instances, [&](const auto& it) { return isEnding(it.name) || m_gone.contains(it.name); });
    if (m_ranking.setInstances(instances))
        m_backoff.keepOnly(m_ranking.candidates());
    return wantedRoles();
}

std::set<InstanceName> QuotaEngine::resigned() const
{
    auto names = m_leaving;
    for (const auto& [name, life] : m_resigned)
        names.insert(name);
    return names;
}

std::set<TeamRole> QuotaEngine::wantedRoles() const
{
    std::set<TeamRole> wanted;
    if (m_isResigning || !m_mayKeep)
        return wanted;
    for (const auto& team : m_client.teams()) {
        const auto keepers = m_ranking.keepersOf(team);
        if (keepers.keeper && *keepers.keeper == m_self)
            wanted.insert({ team, QuotaRole::Keeper });
        else if (keepers.standby && *keepers.standby == m_self)
            wanted.insert({ team, QuotaRole::Standby });
    }
    return wanted;
}

void QuotaEngine::onClaim(const InstanceName& from, const RoleClaim& claim, TimePoint now, QuotaActions& actions)
{
    observe(now);
    if (auto reply = m_wasPaused ? std::nullopt : m_claims.onClaim(from, claim, now))
        actions.emplace_back(AnswerClaim { from, std::move(*reply) });
    flushClaims(now, actions);
}

void QuotaEngine::onClaimReply(const InstanceName& from, const RoleClaimReply& reply, TimePoint now, QuotaActions& actions)
{
    observe(now);
    m_claims.onReply(from, reply, now);
    flushClaims(now, actions);
}

void QuotaEngine::onResignation(const InstanceName& from, const RoleResignation& resignation, TimePoint now, QuotaActions& actions)
{
    observe(now);
    m_resigned[from] = resignation.life;
    const auto wanted = rank();
    m_claims.setWanted(resigned(), wanted);
    flushClaims(now, actions);
}

void QuotaEngine::resign(TimePoint now, QuotaActions& actions)
{
    observe(now);
    m_isResigning = true;
    m_claims.setWanted(resigned(), {});
    // Also without a role: it may be the next in line for one.
    for (const auto& it : hasQuotas() ? otherInstances() : std::vector<InstanceName>())
        actions.emplace_back(AnnounceResignation { it });
    flushClaims(now, actions);
}

std::vector<InstanceName> QuotaEngine::otherInstances() const
{
    std::vector<InstanceName> names;
    for (const auto& it : m_instances) {
        if (it.name != m_self)
            names.push_back(it.name);
    }
    return names;
}

void QuotaEngine::end(TimePoint now, QuotaActions& actions)
{
    observe(now);
    m_hasEnded = true;
    m_claims.giveUpAll(now);
    flushClaims(now, actions);
}

}
