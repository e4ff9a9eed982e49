#pragma once

#include "admission/keeper_backoff.h"
#include "admission/quota_action.h"
#include "admission/quota_client.h"
#include "admission/quota_keeper.h"
#include "admission/quota_ranking.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheefield {

/// Admits the requests of teams within their quotas, which all instances of the fleet share.
///
/// Each team has a keeper and a standby among the instances. Instances ask the keeper for permits, then the standby, and use few permits of
/// their own when neither answers. An instance that newly becomes a keeper waits until no other instance grants the same quota.
/// See docs/design/quotas.md. Every event takes the time and appends actions. Performs no I/O. Not thread safe.
class QuotaEngine {
public:
    QuotaEngine(InstanceName self, const AdmissionSettings&);

    /// Replaces the teams. Changed quotas apply at once.
    void setTeams(const std::vector<Team>&, TimePoint, QuotaActions&);
    /// Replaces the instances, as the store lists them now; called periodically, also without a change. hadPredecessor: an earlier process
    /// of this instance was listed when this one started, so that the fleet knows it already. askedAt: when the list was asked for.
    void setInstances(const std::vector<Instance>&, bool hadPredecessor, TimePoint askedAt, TimePoint now);

    bool hasQuotas() const { return !m_client.teams().empty(); }
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
    void onTimer(TimePoint, QuotaActions&);
    /// When onTimer() is due.
    TimePoint nextWake() const;

    const QuotaCounters& counters() const { return m_client.m_counters; }
    /// Whether this instance grants permits from the team's quota; for tests and logs.
    QuotaRole roleFor(const TeamName&) const;
    /// The roles of this instance, for logs. A role begins to grant at grantsFrom().
    const std::unordered_map<TeamName, QuotaRole>& roles() const { return m_roles; }
    TimePoint grantsFrom() const { return m_grantsFrom; }

private:
    enum class Choice : std::uint8_t {
        Keeper,
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

    void observe(TimePoint);
    bool mayGrant(TimePoint) const;
    void updateRoles(TimePoint grantsFrom);
    void askAll(TimePoint, QuotaActions&);
    void choose(const TeamName&, Choice from, TimePoint, AskedByInstance&, QuotaActions&);
    void send(const InstanceName&, std::vector<AskedTeam>, TimePoint, QuotaActions&);
    void applyReply(const Call&, const QuotaReply&, TimePoint, QuotaActions&);
    void fail(std::uint64_t sequence, TimePoint, QuotaActions&);
    void passOver(const std::vector<AskedTeam>&, TimePoint, QuotaActions&);
    double ownPermits(const TeamName&) const;

    InstanceName m_self;
    QuotaClient m_client;
    QuotaKeeper m_keeper;
    QuotaRanking m_ranking;
    KeeperBackoff m_backoff;
    std::unordered_map<TeamName, QuotaRole> m_roles;
    std::map<std::uint64_t, Call> m_calls; ///< By sequence, and so nearly by deadline.
    std::uint64_t m_lastSequence = 0;
    TimePoint m_viewAt = never; ///< When the last list of the instances was asked for; never: none has come yet.
    TimePoint m_resumedAt {}; ///< When the end of the last pause was noticed.
    TimePoint m_grantsFrom {}; ///< When all other instances know the present list.
    TimePoint m_lastEvent = never;
    bool m_wasPaused = false; ///< The process was paused, and the instances haven't been listed since.
};

}
