#pragma once

#include "admission/quota_action.h"
#include "admission/quota_limits.h"
#include "base/ids.h"
#include "base/time.h"
#include "routing/team_directory.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lycheefield {

struct QuotaCounters {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t asked = 0; ///< Wishes that were sent to keepers and standbys.
    std::uint64_t fallback = 0; ///< Times that a team's keeper was passed over for its standby or for permits of this instance's own.
};

/// Admits the requests of teams with permits that keepers have granted to this instance.
///
/// A request without a permit waits until its team has been asked for. A team that was denied refuses its requests until its next credit.
/// An instance that reaches no keeper uses few permits of its own. Performs no I/O. Not thread safe.
class QuotaClient {
public:
    explicit QuotaClient(const AdmissionSettings& settings)
        : m_settings(settings)
    {
    }

    /// Replaces the teams. Those without a quota are left out; waiting requests of removed teams are admitted.
    void setTeams(const std::vector<Team>&, TimePoint, QuotaActions&);
    /// Returns the names of the teams with a quota.
    std::vector<TeamName> teams() const;
    /// Precondition: the team has a quota.
    QuotaLimits limitsOf(const TeamName&) const;
    bool contains(const TeamName& team) const { return m_teams.contains(team); }

    void onRequest(RequestNumber, const TeamName&, TimePoint, QuotaActions&);
    void onCancel(RequestNumber, const TeamName&);

    /// Returns the teams that have to be asked for since the last call.
    std::vector<TeamName> takeUnasked();
    /// Appends what to ask for the team.
    void appendWishes(const TeamName&, bool isForKeeper, TimePoint, std::vector<QuotaWish>&) const;
    /// A keeper or standby granted permits in reply to a call that was sent then. whyDenied: of the requests for which the permits don't suffice.
    void onGrant(const QuotaGrant&, QuotaRefusal whyDenied, TimePoint sentAt, TimePoint, QuotaActions&);
    /// No keeper answers for the team: this instance uses permits of its own. perWindow: the most in one window.
    void fallBack(const TeamName&, double perWindow, TimePoint, QuotaActions&);

    /// An instance asks no more often than this for a team that was denied.
    static constexpr Duration minAskInterval = std::chrono::milliseconds(300);

private:
    struct TeamState {
        double ratePerSecond = 0;
        double burst = 0;
        std::vector<RequestNumber> waiting;
        std::uint32_t permits = 0;
        float demand = 0; ///< Requests per second, as a moving average.
        float ownPermits = 0;
        bool isAsked = false;
        QuotaRefusal whyDenied = QuotaRefusal::OverQuota;
        TimePoint permitsUntil {};
        TimePoint deniedUntil {};
        TimePoint demandAt {};
        TimePoint ownPermitsAt {};
    };

    static float demandOf(const TeamState&, TimePoint);
    static std::uint32_t askAhead(const TeamState&, TimePoint);
    void ask(const TeamName&, TeamState&);
    void admit(RequestNumber, QuotaActions&);
    void refuse(RequestNumber, const TeamState&, TimePoint, QuotaActions&);
    void serveWaiting(const TeamName&, TeamState&, TimePoint, QuotaActions&);

    AdmissionSettings m_settings;
    std::unordered_map<TeamName, TeamState> m_teams;
    std::vector<TeamName> m_unasked;
    QuotaCounters m_counters;

    friend class QuotaEngine;
};

}
