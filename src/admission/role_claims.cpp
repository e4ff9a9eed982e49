#include "admission/role_claims.h"

#include "base/fingerprint.h"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <iterator>
#include <utility>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// The time in which a permit that was granted at the end of a role may still be used.
constexpr Duration permitTime = 2s;
/// For the answer of an instance that can't have the role, which then takes it on by no earlier list.
constexpr Duration fenceTime = 1s;
/// An answer takes a round trip, and perhaps a new connection.
constexpr Duration minResend = 100ms;
/// A message that comes so soon after a claim doesn't show that the claim was lost.
constexpr Duration minAnswerTime = 30ms;
constexpr Duration maxResend = 2s;
constexpr double resendGrowth = 1.5;
/// Far below the number of items that a message may have.
constexpr std::ptrdiff_t maxRolesInClaim = 1000;

}

RoleClaims::RoleClaims(InstanceName self, std::uint64_t firstSequence, RoleEvents& events)
    : m_self(std::move(self))
    , m_events(events)
    , m_lastSequence(firstSequence)
{
}

bool RoleClaims::has(const TeamRole& role, TimePoint now) const
{
    const auto it = m_claims.find(role);
    return it != m_claims.end() && it->second.isHeld && now < it->second.heldUntil;
}

std::vector<RoleWait> RoleClaims::waits() const
{
    std::vector<RoleWait> waits;
    for (const auto& [role, claim] : m_claims) {
        if (!claim.isWanted || claim.isHeld || claim.awaited.empty())
            continue;
        RoleWait wait { role, claim.claimedAt, {}, {} };
        for (const auto& [name, awaited] : claim.awaited) {
            wait.until = std::max(wait.until, awaited.lapsesAt);
            wait.silent.push_back(name);
        }
        waits.push_back(std::move(wait));
    }
    return waits;
}

std::uint64_t RoleClaims::hashOf(const std::vector<Instance>& instances)
{
    std::uint64_t hash = 0;
    // A sum, as the order of the instances says nothing.
    for (const auto& it : instances)
        hash += stableHash(it.name.value(), std::bit_cast<std::uint64_t>(it.cores));
    return hash;
}

std::map<InstanceName, RoleClaims::Member> RoleClaims::membersOf(const InstanceListing& listing, const std::set<InstanceName>& resigned, const InstanceName& self)
{
    std::map<InstanceName, Member> members;
    for (const auto& it : listing.instances) {
        if (it.name != self)
            members.emplace(it.name, Member { it.cores, resigned.contains(it.name) });
    }
    return members;
}

bool RoleClaims::isGrowth(const Basis& earlier, const Basis& later)
{
    if (earlier.revision.epoch != later.revision.epoch)
        return false;
    return std::all_of(earlier.others.begin(), earlier.others.end(), [&](const auto& it) {
        const auto same = later.others.find(it.first);
        return same != later.others.end() && same->second == it.second;
    });
}

void RoleClaims::setListing(const InstanceListing& listing, const std::set<InstanceName>& resigned, const std::set<TeamRole>& wanted, TimePoint now)
{
    onTimer(now);
    m_fences.forgetExpired(now);
    // A copy from before this process started may lack what an earlier process of this instance has answered.
    if (listing.isLatest || m_seen)
        m_seen = { listing.revision, hashOf(listing.instances) };
    noteDeclared(listing);
    setWanted(resigned, wanted);
    const bool isMissing = listing.isLatest && !listing.holdsSelf && m_basis && listing.revision.epoch == m_basis->revision.epoch;
    if (isMissing)
        giveUpAll(now);
    // Roles that rest on a later list than the store returns now have to end first.
    const bool isLater = !m_basis || listing.revision >= m_basis->revision || now >= m_basis->validUntil;
    const bool canClaim = listing.isLatest && listing.holdsSelf && isLater;
    if (!canClaim)
        return;
    m_needsListing = false;
    Basis basis { listing.revision, hashOf(listing.instances), membersOf(listing, resigned, m_self), listing.declared, listing.refreshedAt, listing.askedAt, std::min(listing.askedAt + roleLifetime, listing.listedUntil) };
    const auto earlier = m_basis ? std::exchange(*m_basis, std::move(basis)) : m_basis.emplace(std::move(basis));
    for (const auto& it : wanted)
        claim(it, earlier, now);
    std::erase_if(m_peers, [&](const auto& it) { return rolesAwaitedFrom(it.first).empty(); });
    // Those that have not answered yet get the later list too.
    for (auto& [name, peer] : m_peers)
        peer.dueAt = now;
    wakeBy(now);
}

void RoleClaims::noteDeclared(const InstanceListing& listing)
{
    const auto own = listing.declared.find(m_self);
    const auto declared = listing.holdsSelf && own != listing.declared.end() ? own->second.roles : std::set<TeamRole>();
    if (listing.isLatest)
        m_declared = declared;
    else if (listing.holdsSelf)
        std::erase_if(m_declared, [&](const auto& it) { return !declared.contains(it) && !m_wanted.contains(it); });
}

void RoleClaims::setWanted(const std::set<InstanceName>& resigned, const std::set<TeamRole>& wanted)
{
    m_resigned = resigned;
    m_wanted = wanted;
    // A role that another instance is to have is kept until that one claims it.
    std::erase_if(m_claims, [&](const auto& it) { return !it.second.isHeld && !wanted.contains(it.first); });
    for (auto& [role, claim] : m_claims)
        claim.isWanted = wanted.contains(role);
    m_needsListing = m_needsListing || std::any_of(wanted.begin(), wanted.end(), [&](const auto& it) { return !m_claims.contains(it); });
}

std::set<TeamRole> RoleClaims::rolesToDeclare() const
{
    auto roles = m_wanted;
    for (const auto& [role, claim] : m_claims)
        roles.insert(role);
    return roles;
}

bool RoleClaims::needsDeclaration() const
{
    return !std::includes(m_declared.begin(), m_declared.end(), m_wanted.begin(), m_wanted.end());
}

bool RoleClaims::isDeclarationTooWide() const
{
    const auto roles = rolesToDeclare();
    return !std::includes(roles.begin(), roles.end(), m_declared.begin(), m_declared.end());
}

void RoleClaims::setGone(const std::set<InstanceName>& gone, TimePoint now)
{
    m_gone = gone;
    if (!m_basis)
        return;
    for (auto& it : m_claims) {
        const auto& role = it.first;
        const auto isNeedless = [&](const InstanceName& name, const Awaited& awaited) { return m_gone.contains(name) && !awaited.isByEarlierEpoch && !mayHave(name, role, *m_basis); };
        std::erase_if(it.second.awaited, [&](const auto& awaited) { return isNeedless(awaited.first, awaited.second); });
        complete(role, it.second, now);
    }
}

bool RoleClaims::mayHave(const InstanceName& name, const TeamRole& role, const Basis& basis) const
{
    if (!basis.others.contains(name))
        return false;
    const auto it = basis.declared.find(name);
    if (it != basis.declared.end())
        return it->second.roles.contains(role);
    // An instance of an earlier release declares nothing, whatever it has.
    return !m_gone.contains(name);
}

void RoleClaims::claim(const TeamRole& role, const Basis& earlier, TimePoint now)
{
    if (!m_declared.contains(role)) {
        m_needsListing = true;
        return;
    }
    if (!admits(role, m_basis->revision, m_self, now)) {
        m_needsListing = true;
        return;
    }
    const auto [it, isNew] = m_claims.try_emplace(role);
    auto& claim = it->second;
    if (isNew || !claim.revision) {
        claim.firstSequence = m_lastSequence + 1;
        claim.claimedAt = now;
    }
    claim.answered.clear();
    // A wait rests on lists that have held this instance ever since, one after the other: the silent instance has read them too, or none.
    const bool isContinued = claim.revision == earlier.revision && earlier.revision.epoch == m_basis->revision.epoch && now < earlier.validUntil;
    if (isContinued)
        endWaits(role, claim, earlier);
    else
        claim.awaited.clear();
    const bool asksAll = !isContinued || !isGrowth(earlier, *m_basis);
    claim.revision = m_basis->revision;
    for (const auto& [name, member] : m_basis->others) {
        const bool mayHaveRole = mayHave(name, role, *m_basis);
        const bool isAdded = !earlier.others.contains(name) || (mayHaveRole && !mayHave(name, role, earlier));
        if (!asksAll && !isAdded)
            continue;
        if (mayHaveRole)
            awaitRelease(claim, name, false, now);
        else if (!m_gone.contains(name))
            awaitFence(claim, name, now);
    }
    const bool asksClaimants = !isContinued && !claim.isHeld;
    for (const auto& it : asksClaimants ? m_fences.claimsOf(role, m_self, now) : std::vector<RoleFence>()) {
        // The store may have lost what was declared in an earlier epoch. In this one its object has been removed, if it isn't listed.
        if (it.revision.epoch < m_basis->revision.epoch)
            awaitRelease(claim, it.claimant, true, now);
        else if (!m_basis->others.contains(it.claimant))
            awaitFence(claim, it.claimant, now);
    }
    m_fences.record(role, { m_basis->revision, m_self, now });
    complete(role, claim, now);
}

void RoleClaims::endWaits(const TeamRole& role, Claim& claim, const Basis& earlier) const
{
    for (auto it = claim.awaited.begin(); it != claim.awaited.end();)
        it = endsWait(role, it->first, it->second, earlier) ? claim.awaited.erase(it) : std::next(it);
}

bool RoleClaims::endsWait(const TeamRole& role, const InstanceName& name, Awaited& awaited, const Basis& earlier) const
{
    // One that the list no longer holds has not refreshed its object for longer than its roles last, or has ended without a role.
    if (earlier.others.contains(name) && !m_basis->others.contains(name))
        return true;
    const auto refreshed = m_basis->refreshedAt.find(name);
    const bool isRefreshed = refreshed != m_basis->refreshedAt.end() && refreshed->second > awaited.since;
    const bool declaresOthersOnly = m_basis->declared.contains(name) && !mayHave(name, role, *m_basis);
    // An object that came back with an older copy doesn't tell what its process has declared since.
    if (awaited.mayHaveRole && declaresOthersOnly && (isRefreshed || !awaited.isByEarlierEpoch))
        return true;
    // One that refreshes its object also reads lists, and may gain the role as this process may.
    if (awaited.mayHaveRole && isRefreshed) {
        awaited.since = refreshed->second;
        awaited.lapsesAt = refreshed->second + roleLifetime + permitTime;
    }
    return m_basis->askedAt >= awaited.lapsesAt;
}

bool RoleClaims::admits(const TeamRole& role, const StoreRevision& revision, const InstanceName& claimant, TimePoint now) const
{
    if (m_fences.admits(role, revision, claimant, now))
        return true;
    const auto* fence = m_fences.find(role, now);
    if (revision != fence->revision)
        return false;
    // The list that named the other claimant names this one too, as the other one is about to end or is not to have the role any longer.
    const auto own = m_claims.find(role);
    const bool isGivenUp = fence->claimant == m_self && claimant != m_self && (own == m_claims.end() || !own->second.isWanted);
    return isGivenUp || m_resigned.contains(fence->claimant);
}

void RoleClaims::awaitRelease(Claim& claim, const InstanceName& name, bool isByEarlierEpoch, TimePoint now)
{
    await(claim, name, { now, now + roleLifetime + permitTime, m_lastSequence + 1, true, isByEarlierEpoch }, now);
}

void RoleClaims::awaitFence(Claim& claim, const InstanceName& name, TimePoint now)
{
    await(claim, name, { now, now + fenceTime, m_lastSequence + 1, false, false }, now);
}

void RoleClaims::await(Claim& claim, const InstanceName& name, const Awaited& added, TimePoint now)
{
    const auto [it, isNew] = claim.awaited.try_emplace(name, added);
    const bool isStronger = added.mayHaveRole && !it->second.mayHaveRole;
    if (!isNew && isStronger)
        it->second = added;
    it->second.isByEarlierEpoch = it->second.isByEarlierEpoch || added.isByEarlierEpoch;
    m_peers[name] = { now, minResend, {}, false };
    wakeBy(now);
}

void RoleClaims::gain(const TeamRole& role, Claim& claim, const QuotaCredit& credit, TimePoint now)
{
    claim.isHeld = true;
    claim.heldUntil = m_basis->validUntil;
    wakeBy(claim.heldUntil);
    m_events.onRoleGained(role, credit, now);
}

void RoleClaims::complete(const TeamRole& role, Claim& claim, TimePoint now)
{
    const bool isClaimed = claim.isWanted && claim.revision == m_basis->revision;
    if (!isClaimed || !claim.awaited.empty() || now >= m_basis->validUntil)
        return;
    if (!claim.isHeld)
        gain(role, claim, {}, now);
    claim.heldUntil = m_basis->validUntil;
}

std::optional<RoleClaimReply> RoleClaims::onClaim(const InstanceName& from, const RoleClaim& claim, TimePoint now)
{
    onTimer(now);
    if (!m_seen)
        return std::nullopt;
    RoleClaimReply reply { claim.sequence, {} };
    for (const auto& it : claim.roles)
        reply.answers.push_back(answer(from, it, claim, now));
    return reply;
}

RoleAnswer RoleClaims::answer(const InstanceName& from, const TeamRole& role, const RoleClaim& claim, TimePoint now)
{
    RoleAnswer answer { role, RoleVerdict::Free, {}, {} };
    for (const auto& it : m_fences.claimsOf(role, from, now)) {
        if (it.revision.epoch < claim.revision.epoch)
            answer.claimants.push_back(it.claimant);
    }
    const auto own = m_claims.find(role);
    const bool isHeld = own != m_claims.end() && own->second.isHeld;
    if (!admits(role, claim.revision, from, now)) {
        answer.verdict = RoleVerdict::Outdated;
        return answer;
    }
    m_fences.record(role, { claim.revision, from, now });
    if (own != m_claims.end())
        m_claims.erase(own);
    if (isHeld) {
        answer.verdict = RoleVerdict::Released;
        answer.credit = m_events.onRoleLost(role, now);
    } else if (m_seen->revision > claim.revision && m_seen->membersHash != claim.membersHash) {
        answer.verdict = RoleVerdict::Outdated;
    }
    return answer;
}

void RoleClaims::giveUp(const TeamName& team, TimePoint now)
{
    for (const auto role : { QuotaRole::Keeper, QuotaRole::Standby }) {
        const auto it = m_claims.find({ team, role });
        if (it == m_claims.end())
            continue;
        if (it->second.isHeld)
            m_events.onRoleLost(it->first, now);
        m_claims.erase(it);
    }
}

void RoleClaims::giveUpAll(TimePoint now)
{
    for (const auto& [role, claim] : m_claims) {
        if (claim.isHeld)
            m_events.onRoleLost(role, now);
    }
    m_claims.clear();
    m_peers.clear();
}

void RoleClaims::onReply(const InstanceName& from, const RoleClaimReply& reply, TimePoint now)
{
    onTimer(now);
    if (reply.sequence > m_lastSequence)
        return;
    for (const auto& it : reply.answers)
        applyAnswer(from, reply.sequence, it, now);
    if (rolesAwaitedFrom(from).empty())
        m_peers.erase(from);
}

void RoleClaims::onSignOfLife(const InstanceName& from, TimePoint now)
{
    const auto peer = m_peers.find(from);
    if (peer == m_peers.end() || now < peer->second.sentAt + minAnswerTime)
        return;
    peer->second = { now, minResend, {}, false };
    wakeBy(now);
}

void RoleClaims::applyAnswer(const InstanceName& from, std::uint64_t sequence, const RoleAnswer& answer, TimePoint now)
{
    const auto it = m_claims.find(answer.role);
    if (it == m_claims.end() || sequence < it->second.firstSequence)
        return;
    auto& claim = it->second;
    if (answer.verdict == RoleVerdict::Outdated) {
        m_needsListing = true;
        return;
    }
    if (answer.verdict == RoleVerdict::Released && !claim.isHeld && claim.revision == m_basis->revision && now < m_basis->validUntil)
        gain(answer.role, claim, answer.credit, now);
    const auto awaited = claim.awaited.find(from);
    if (awaited != claim.awaited.end() && sequence >= awaited->second.firstSequence) {
        claim.awaited.erase(awaited);
        claim.answered.insert(from);
    }
    for (const auto& name : answer.claimants) {
        if (name != m_self && !claim.isHeld && !claim.answered.contains(name) && !claim.awaited.contains(name))
            awaitRelease(claim, name, true, now);
    }
    complete(answer.role, claim, now);
}

void RoleClaims::onTimer(TimePoint now)
{
    if (now < m_wake)
        return;
    for (auto it = m_claims.begin(); it != m_claims.end();) {
        auto& [role, claim] = *it;
        std::erase_if(claim.awaited, [&](const auto& awaited) { return !awaited.second.mayHaveRole && now >= awaited.second.lapsesAt; });
        if (m_basis)
            complete(role, claim, now);
        const bool isWaitOver = std::any_of(claim.awaited.begin(), claim.awaited.end(), [&](const auto& awaited) { return now >= awaited.second.lapsesAt; });
        m_needsListing = m_needsListing || (claim.isWanted && isWaitOver);
        if (!claim.isHeld || now < claim.heldUntil) {
            ++it;
            continue;
        }
        m_events.onRoleLost(role, now);
        m_needsListing = m_needsListing || claim.isWanted;
        // Others may have gained the role without an answer from here.
        claim.isHeld = false;
        claim.revision.reset();
        it = claim.isWanted ? std::next(it) : m_claims.erase(it);
    }
    updateWake(now);
}

void RoleClaims::updateWake(TimePoint now)
{
    m_wake = never;
    for (const auto& [name, peer] : m_peers)
        wakeBy(peer.dueAt);
    for (const auto& [role, claim] : m_claims) {
        if (claim.isHeld)
            wakeBy(claim.heldUntil);
        for (const auto& [name, awaited] : claim.awaited)
            wakeBy(now < awaited.lapsesAt ? awaited.lapsesAt : never);
    }
}

std::vector<TeamRole> RoleClaims::rolesAwaitedFrom(const InstanceName& name) const
{
    std::vector<TeamRole> roles;
    for (const auto& [role, claim] : m_claims) {
        if (claim.awaited.contains(name))
            roles.push_back(role);
    }
    return roles;
}

std::vector<OutgoingClaim> RoleClaims::takeDue(TimePoint now)
{
    std::vector<OutgoingClaim> due;
    for (auto& [name, peer] : m_peers) {
        if (now < peer.dueAt)
            continue;
        const auto roles = rolesAwaitedFrom(name);
        const bool usesOwnConnection = std::exchange(peer.usesOwnConnection, !peer.usesOwnConnection);
        peer.sentAt = now;
        peer.dueAt = roles.empty() ? never : now + peer.backoff;
        peer.backoff = std::min(maxResend, scaled(peer.backoff, resendGrowth));
        for (auto from = roles.begin(); from != roles.end();) {
            const auto end = from + std::min<std::ptrdiff_t>(maxRolesInClaim, roles.end() - from);
            due.push_back({ name, { ++m_lastSequence, m_basis->revision, m_basis->membersHash, { from, end } }, usesOwnConnection });
            from = end;
        }
    }
    if (now >= m_wake)
        updateWake(now);
    return due;
}

}
