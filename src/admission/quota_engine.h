#pragma once

#include "admission/keeper_backoff.h"
#include "admission/quota_action.h"
#include "admission/quota_client.h"
#include "admission/quota_keeper.h"
#include "admission/quota_ranking.h"
#include "admission/role_claims.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheefield {

/// Admits the requests of teams within their quotas, which all instances of the fleet share.
///
/// Each team has a keeper and a standby among the instances. Instances ask the keeper for permits, then the standby, and use few permits of
/// their own when neither answers. RoleClaims decides when an instance takes on a role that the list gives it.
/// See docs/design/quotas.md. Every event takes the time and appends actions. Performs no I/O. Not thread safe.
class QuotaEngine : private RoleEvents {
public:
    /// seed: random, different for each process.
    QuotaEngine(InstanceName self, const AdmissionSettings&, std::uint64_t seed);

    /// Replaces the teams. Changed quotas apply at once.
    void setTeams(const std::vector<Team>&, TimePoint, QuotaActions&);
    /// Replaces the instances; called periodically, also without a change. Precondition: no earlier revision than that of the last call.
    void setInstances(const InstanceListing&, TimePoint, QuotaActions&);
    /// Replaces the listed instances that are presumed gone: they keep no quota, and nothing is waited for from those that declare no role.
    void setGone(const std::set<InstanceName>&, TimePoint, QuotaActions&);
    /// This process's object has left the store, so that others don't ask it any more: it gives up its roles. Called before the object is written again.
    void onObjectLost(TimePoint, QuotaActions&);
    /// What this process has to declare in its object in the store.
    RoleDeclaration declaration() const { return { m_claims.rolesToDeclare(), m_isResigning, m_hasEnded }; }
    /// Whether the next list of the instances must be the store's latest one.
    bool needsLatestListing() const { return m_claims.hasAny() || m_claims.needsListing(); }

    bool hasQuotas() const { return !m_client.teams().empty(); }
    std::vector<InstanceName> otherInstances() const;
    /// The other instances that may keep quotas.
    std::set<InstanceName> keepers() const;

    /// A request of this team wants to be admitted. AdmitRequest or RefuseRequest follows once, now or within tenths of a second, unless onCancel() is called.
    void onRequest(RequestNumber, const TeamName&, TimePoint, QuotaActions&);
    /// The caller of a waiting request has disconnected.
    void onCancel(RequestNumber number, const TeamName& team) { m_client.onCancel(number, team); }
    void onCall(const InstanceName& from, const QuotaCall&, TimePoint, QuotaActions&);
    void onReply(const InstanceName& from, const QuotaReply&, TimePoint, QuotaActions&);
    /// A call was not delivered.
    void onUndelivered(std::uint64_t sequence, TimePoint, QuotaActions&);
    /// This process lacked the resources to send a call, which says nothing about the instance that it was for.
    void onNotSent(std::uint64_t sequence, TimePoint, QuotaActions&);
    void onClaim(const InstanceName& from, const RoleClaim&, TimePoint, QuotaActions&);
    void onClaimReply(const InstanceName& from, const RoleClaimReply&, TimePoint, QuotaActions&);
    /// The process of this life of the instance is about to end.
    void onResignation(const InstanceName& from, const RoleResignation&, TimePoint, QuotaActions&);
    /// This process is about to end: others take over its roles. It goes on admitting requests.
    void resign(TimePoint, QuotaActions&);
    /// This process ends: it gives up the roles that nobody has claimed, and gains none any more. Precondition: resign() was called.
    void end(TimePoint, QuotaActions&);
    void onTimer(TimePoint, QuotaActions&);
    /// When onTimer() is due.
    TimePoint nextWake() const;

    const QuotaCounters& counters() const { return m_client.m_counters; }
    /// Whether this process would grant in this role now; for tests.
    bool grants(const TeamRole& role, TimePoint now) const { return !m_wasPaused && !endsPause(now) && m_claims.has(role, now); }

private:
    enum class Choice : std::uint8_t {
        Keeper,
        FormerKeeper, ///< Granted last; it does so until the keeper has taken the role over.
        Standby,
        Own,
    };
    struct AskedTeam {
        TeamName team;
        Choice choice = Choice::Keeper;
    };
    struct Call {
        InstanceName instance;
        TimePoint sentAt {};
        TimePoint deadline = never;
        bool isExtended = false;
        std::vector<AskedTeam> teams;
    };
    using AskedByInstance = std::map<InstanceName, std::vector<AskedTeam>>;

    /// Between two requests for a list of the instances; doubles until one comes.
    static constexpr Duration minListingPause = std::chrono::milliseconds(500);

    /// The factor of the pauses between lists, which differs between processes.
    static double listingPace(std::uint64_t seed);
    void onRoleGained(const TeamRole&, const QuotaCredit&, TimePoint) override;
    QuotaCredit onRoleLost(const TeamRole&, TimePoint) override;
    /// Notices pauses of the process, and ends roles that have expired.
    void observe(TimePoint);
    /// Whether an event at this time is the first one after a pause.
    bool endsPause(TimePoint) const;
    /// Appends what follows from claims and their answers.
    void flushClaims(TimePoint, QuotaActions&);
    /// Reports each role that is awaited for unusually long, and again periodically.
    void reportWaits(TimePoint, QuotaActions&);
    /// Requests that this process declares its roles anew, at once when one is missing.
    void requestDeclaration(TimePoint, QuotaActions&);
    /// Ranks the instances without those that have resigned. Returns the roles that this one is to have.
    std::set<TeamRole> rank();
    std::set<InstanceName> resigned() const;
    std::set<TeamRole> wantedRoles() const;
    /// The instance to turn to for this role; null: there is none.
    const InstanceName* instanceFor(const TeamRole&, TimePoint) const;
    const InstanceName* instanceFor(const TeamName&, Choice, TimePoint) const;
    void askAll(TimePoint, QuotaActions&);
    void choose(const TeamName&, Choice from, TimePoint, AskedByInstance&, QuotaActions&);
    void send(const InstanceName&, std::vector<AskedTeam>, TimePoint, QuotaActions&);
    QuotaReply answerFor(const QuotaCall&, TimePoint);
    /// Whether the caller takes this instance for a keeper that it isn't, by a list that this one should read too.
    bool isNamedByLaterList(const QuotaCall&, TimePoint) const;
    void applyReply(const Call&, const QuotaReply&, TimePoint, QuotaActions&);
    void fail(std::uint64_t sequence, TimePoint, QuotaActions&);
    void passOver(const std::vector<AskedTeam>&, TimePoint, QuotaActions&);
    /// Zero unless each list that another instance may use permits of its own by holds this one, so that all shares add up.
    double ownPermits(const TeamName&, TimePoint) const;

    InstanceName m_self;
    QuotaClient m_client;
    QuotaKeeper m_keeper;
    QuotaRanking m_ranking;
    KeeperBackoff m_backoff;
    RoleClaims m_claims;
    std::vector<ReportRole> m_roleChanges; ///< Not yet reported.
    TimePoint m_nextWaitReport {};
    std::vector<Instance> m_instances;
    StoreRevision m_rankedRevision; ///< Of the list by which the instances are ranked.
    TimePoint m_listedAt {}; ///< When that list was asked for.
    TimePoint m_listedSince = never; ///< When the first list came that holds this process.
    std::map<InstanceName, ProcessLife> m_resigned;
    std::set<InstanceName> m_leaving; ///< As their objects say.
    std::set<InstanceName> m_gone;
    RoleDeclaration m_requested; ///< Last.
    TimePoint m_requestedAt {};
    TimePoint m_declareAt = never; ///< When the next one is due.
    std::unordered_map<TeamName, InstanceName> m_lastGranters; ///< Of keepers' grants.
    std::map<std::uint64_t, Call> m_calls; ///< By sequence, and so nearly by deadline.
    std::uint64_t m_lastSequence = 0;
    TimePoint m_nextListing {}; ///< No list is requested before.
    double m_listingPace;
    Duration m_listingPause;
    TimePoint m_lastEvent = never;
    TimePoint m_resumedAt {}; ///< When the end of the last pause was noticed.
    bool m_wasPaused = false; ///< The process was paused, and the instances haven't been listed since.
    bool m_mayKeep = false; ///< A list was complete enough to rank this instance. The first one of a starting fleet is not.
    bool m_isResigning = false;
    bool m_hasEnded = false;
};

}
