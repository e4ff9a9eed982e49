#pragma once

#include "admission/outstanding_permits.h"
#include "admission/quota_limits.h"
#include "admission/quota_message.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace lycheefield {

/// What an instance does for the quota of a team.
enum class QuotaRole : std::uint8_t {
    None,
    Keeper, ///< Grants the permits of the team's quota.
    Standby, ///< Grants a part of the slack to instances that don't reach the keeper.
};

std::string_view toString(QuotaRole);

/// Grants the permits of the teams whose quotas this instance keeps or stands by for.
///
/// A permit leaves the bucket when it is granted. A bucket starts empty, so that two processes that keep a quota one after the other grant
/// its burst once. Performs no I/O. Not thread safe.
class QuotaKeeper {
public:
    /// Lets the instance take on a role for the team. It grants nothing before grantsFrom.
    void setRole(const TeamName&, QuotaRole, TimePoint grantsFrom);
    /// Sets or changes the quota of a team for which the instance has a role. Takes effect at once, also on permits that the bucket holds.
    void setLimits(const TeamName&, const QuotaLimits&, TimePoint);
    void remove(const TeamName& team) { m_quotas.erase(team); }

    /// Grants what the quotas hold. Teams for which this instance doesn't grant have no grant in the reply.
    QuotaReply answer(const QuotaCall&, TimePoint);

    /// Permits that are granted ahead live so long.
    static constexpr Duration aheadLifetime = std::chrono::milliseconds(500);
    static constexpr Duration spareLifetime = OutstandingPermits::maxLifetime;

private:
    struct Quota {
        QuotaRole role = QuotaRole::None;
        QuotaLimits limits;
        double level = 0; ///< Permits in the bucket.
        TimePoint refilledAt {}; ///< Later than the present: it grants from then on.
        OutstandingPermits outstanding;

        double rate() const { return role == QuotaRole::Keeper ? limits.ratePerSecond : limits.standbyRatePerSecond; }
        double capacity() const { return role == QuotaRole::Keeper ? limits.capacity : limits.standbyCapacity; }
    };

    static void refill(Quota&, TimePoint);
    static std::uint32_t take(Quota&, double most);
    static void grantWaiting(Quota&, std::uint32_t requests, QuotaGrant&);
    static void grantAhead(Quota&, std::uint32_t requests, TimePoint, QuotaGrant&);
    static void grantSpare(Quota&, TimePoint, QuotaGrant&);

    std::unordered_map<TeamName, Quota> m_quotas;
};

}
