#pragma once

#include "admission/instance_listing.h"
#include "admission/role_claim.h"
#include "admission/role_fences.h"
#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lycheefield {

/// Receives the roles that this process gains and loses. Called from within the functions of RoleClaims.
class RoleEvents {
public:
    virtual ~RoleEvents() = default;
    virtual void onRoleGained(const TeamRole&, const QuotaCredit&, TimePoint) = 0;
    /// Returns what is left of the quota.
    virtual QuotaCredit onRoleLost(const TeamRole&, TimePoint) = 0;
};

/// A claim to send to another instance.
struct OutgoingClaim {
    InstanceName to;
    RoleClaim claim;
    bool usesOwnConnection = false; ///< The last one wasn't answered, perhaps as it went out on a broken connection that the other instance had opened.

    friend bool operator==(const OutgoingClaim&, const OutgoingClaim&) = default;
};

/// A role that this process is to have and doesn't have yet, as other instances haven't answered its claim.
struct RoleWait {
    TeamRole role;
    TimePoint since {};
    TimePoint until {}; ///< The role isn't gained before, unless all answer.
    std::vector<InstanceName> silent;

    friend bool operator==(const RoleWait&, const RoleWait&) = default;
};

/// Decides which roles this process has, so that no two processes of the fleet have the same one at the same time.
///
/// A process declares in its object in the store each role that it is to have, and only then reads the list by which it claims the role. So of
/// two processes that declare a role the one with the later list finds the other one's declaration. It gains the role as soon as the process
/// that has it gives it up, or all that declare it have answered that they don't have it. One that declares the role and doesn't answer is waited
/// for until each list that it may act on has ended, as a list shows that was asked for afterwards; the wait starts again when it refreshes its
/// object, when the store's epoch changes, or when this process is without a list. The others are asked too, so that they take on the role by no earlier list, but
/// not waited for.
/// A process whose object has left the store in the same epoch gives up its roles, as others don't ask it any more.
/// A role rests on the list by which it was claimed and ends with it (roleLifetime) unless a later list confirms it; instances that the later list
/// has in addition are asked first.
///
/// That two processes never have a role at once rests on this: a list counts only if it is the store's latest one, was asked for by this
/// process and holds its object. So of two lists in an epoch of the store the later one holds both claimants, and the later claimant asks
/// the earlier one, whose answer bars it from earlier lists. A process that was restarted reads a list that is later than all it has answered.
/// See docs/design/quota-handover.md. Performs no I/O. Not thread safe.
class RoleClaims {
public:
    /// firstSequence: random, so that answers to an earlier process of this instance are not taken for answers to this one. Precondition: the events outlive the claims.
    RoleClaims(InstanceName self, std::uint64_t firstSequence, RoleEvents&);

    /// Sets the roles that this instance is to have by the listing. resigned: instances in it that are about to end.
    void setListing(const InstanceListing&, const std::set<InstanceName>& resigned, const std::set<TeamRole>& wanted, TimePoint);
    /// Changes the instances that are about to end and the wanted roles, by the listing that was set last.
    void setWanted(const std::set<InstanceName>& resigned, const std::set<TeamRole>&);
    /// Sets the listed instances that are presumed gone: one that declares nothing isn't waited for.
    void setGone(const std::set<InstanceName>&, TimePoint);
    /// What this process has to declare in its object. The declaration holds from a list on that shows it.
    std::set<TeamRole> rolesToDeclare() const;
    /// Whether a wanted role is missing in the declaration that the last list showed.
    bool needsDeclaration() const;
    /// Whether that declaration holds a role that this process neither has nor is to have.
    bool isDeclarationTooWide() const;

    /// Gives up the roles for a team that is no longer known.
    void giveUp(const TeamName&, TimePoint);
    void giveUpAll(TimePoint);

    /// Empty: this process knows too little to answer.
    std::optional<RoleClaimReply> onClaim(const InstanceName& from, const RoleClaim&, TimePoint);
    void onReply(const InstanceName& from, const RoleClaimReply&, TimePoint);
    /// A message of another kind came from the instance, which may be able to answer now.
    void onSignOfLife(const InstanceName& from, TimePoint);
    /// Ends what has expired.
    void onTimer(TimePoint);
    /// Takes the claims that are due to be sent.
    std::vector<OutgoingClaim> takeDue(TimePoint);
    /// When onTimer() or takeDue() has something to do, or earlier.
    TimePoint nextWake() const { return m_wake; }

    bool has(const TeamRole&, TimePoint) const;
    bool hasAny() const { return !m_claims.empty(); }
    /// The claims that wait for answers.
    std::vector<RoleWait> waits() const;
    /// A claim needs the store's latest list, asked for from now on.
    bool needsListing() const { return m_needsListing; }
    void requireListing() { m_needsListing = true; }
    /// The latest claim of the role that this process knows of; null: none.
    const RoleFence* claimOf(const TeamRole& role, TimePoint now) const { return m_fences.find(role, now); }

    /// A role ends so long after the list on which it rests was asked for: before others, who count an instance for 180 s after its last refresh, drop it.
    static constexpr Duration roleLifetime = std::chrono::seconds(110);

private:
    struct Member {
        double cores = 0;
        bool hasResigned = false;

        friend bool operator==(const Member&, const Member&) = default;
    };
    /// The listing by which this process claims.
    struct Basis {
        StoreRevision revision;
        std::uint64_t membersHash = 0;
        std::map<InstanceName, Member> others;
        std::map<InstanceName, RoleDeclaration> declared;
        std::map<InstanceName, TimePoint> refreshedAt;
        TimePoint askedAt {};
        TimePoint validUntil {};
    };
    /// The last listing, whether this process claims by it or not.
    struct Seen {
        StoreRevision revision;
        std::uint64_t membersHash = 0;
    };
    struct Awaited {
        TimePoint since {};
        TimePoint lapsesAt {}; ///< Each list on which the instance may have the role has ended by then.
        std::uint64_t firstSequence = 0; ///< Answers to earlier claims don't count.
        bool mayHaveRole = true; ///< Otherwise it is asked only so that it takes on the role by no earlier list.
        bool isByEarlierEpoch = false; ///< It claimed the role in an epoch whose declarations the store may have lost.
    };
    struct Claim {
        bool isWanted = true;
        bool isHeld = false;
        TimePoint heldUntil {};
        TimePoint claimedAt {}; ///< When the process began to wait for the role.
        std::uint64_t firstSequence = 0;
        std::optional<StoreRevision> revision; ///< Of the last list by which the role was claimed; empty: all have to be asked again.
        std::map<InstanceName, Awaited> awaited; ///< Whose answers the present listing still needs.
        std::set<InstanceName> answered; ///< Since the present listing.
    };
    struct Peer {
        TimePoint dueAt {};
        Duration backoff {};
        TimePoint sentAt {};
        bool usesOwnConnection = false; ///< Of the next claim; every second one does.
    };

    static std::uint64_t hashOf(const std::vector<Instance>&);
    static std::map<InstanceName, Member> membersOf(const InstanceListing&, const std::set<InstanceName>& resigned, const InstanceName& self);
    /// Whether the later members are the earlier ones and perhaps further ones.
    static bool isGrowth(const Basis& earlier, const Basis& later);
    /// Whether the instance may have the role, or gain it without asking this one, as far as the list shows.
    bool mayHave(const InstanceName&, const TeamRole&, const Basis&) const;
    /// Notes what this process declares by the list. A copy, which may be older than the declaration, shows only what is declared no longer.
    void noteDeclared(const InstanceListing&);
    /// Claims the role by the present basis.
    void claim(const TeamRole&, const Basis& earlier, TimePoint);
    /// Whether the role may be claimed by the list of that revision, as far as this process knows.
    bool admits(const TeamRole&, const StoreRevision&, const InstanceName& claimant, TimePoint) const;
    /// Ends the waits for silent instances that can't have the role by now.
    void endWaits(const TeamRole&, Claim&, const Basis& earlier) const;
    /// Whether the present list shows that the silent instance can't have the role. Begins the wait again if the instance has refreshed its object.
    bool endsWait(const TeamRole&, const InstanceName&, Awaited&, const Basis& earlier) const;
    /// Waits for an instance that may have the role.
    void awaitRelease(Claim&, const InstanceName&, bool isByEarlierEpoch, TimePoint);
    /// Waits for an instance that can't have the role, for a short time.
    void awaitFence(Claim&, const InstanceName&, TimePoint);
    void await(Claim&, const InstanceName&, const Awaited&, TimePoint);
    void complete(const TeamRole&, Claim&, TimePoint);
    RoleAnswer answer(const InstanceName& from, const TeamRole&, const RoleClaim&, TimePoint);
    void applyAnswer(const InstanceName& from, std::uint64_t sequence, const RoleAnswer&, TimePoint);
    void gain(const TeamRole&, Claim&, const QuotaCredit&, TimePoint);
    std::vector<TeamRole> rolesAwaitedFrom(const InstanceName&) const;
    void wakeBy(TimePoint time) { m_wake = std::min(m_wake, time); }
    void updateWake(TimePoint);

    InstanceName m_self;
    RoleEvents& m_events;
    RoleFences m_fences;
    std::optional<Basis> m_basis;
    std::optional<Seen> m_seen; ///< Empty: this process has read no latest list yet.
    bool m_needsListing = false;
    std::set<InstanceName> m_resigned;
    std::set<InstanceName> m_gone;
    std::set<TeamRole> m_wanted;
    std::set<TeamRole> m_declared; ///< By this process, as the last list showed.
    std::map<TeamRole, Claim> m_claims;
    std::map<InstanceName, Peer> m_peers; ///< To which claims are to be sent.
    std::uint64_t m_lastSequence;
    TimePoint m_wake = never;
};

}
