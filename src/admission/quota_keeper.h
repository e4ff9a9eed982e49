#pragma once

#include "admission/outstanding_permits.h"
#include "admission/quota_limits.h"
#include "admission/quota_message.h"
#include "admission/quota_role.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lycheefield {

/// Grants the permits of the teams whose quotas this instance keeps or stands by for.
///
/// A permit leaves the bucket when it is granted. A bucket starts with what the process that had the role before has left, or empty, so that
/// two processes that keep a quota one after the other grant its burst once. Performs no I/O. Not thread safe.
class QuotaKeeper {
public:
    /// Begins to grant. Precondition: no other process grants in this role.
    void start(const TeamRole&, const QuotaLimits&, const QuotaCredit&, TimePoint);
    /// Ends it, and returns what is left.
    QuotaCredit stop(const TeamRole&, TimePoint);
    /// Changes the quota of a team for which the instance may have roles. Takes effect at once, also on permits that the buckets hold.
    void setLimits(const TeamName&, const QuotaLimits&, TimePoint);

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
        TimePoint refilledAt {};
        OutstandingPermits outstanding;

        double rate() const { return role == QuotaRole::Keeper ? limits.ratePerSecond : limits.standbyRatePerSecond; }
        double capacity() const { return role == QuotaRole::Keeper ? limits.capacity : limits.standbyCapacity; }
    };

    /// An instance may have both roles for a while, until another one takes over the one that it has no longer by the list.
    struct TeamQuotas {
        std::optional<Quota> keeper;
        std::optional<Quota> standby;

        std::optional<Quota>& of(QuotaRole role) { return role == QuotaRole::Keeper ? keeper : standby; }
    };

    static void setLimits(Quota&, const QuotaLimits&, TimePoint);
    static void refill(Quota&, TimePoint);
    static std::uint32_t take(Quota&, double most);
    static void grantWaiting(Quota&, std::uint32_t requests, QuotaGrant&);
    static void grantAhead(Quota&, std::uint32_t requests, TimePoint, QuotaGrant&);
    static void grantSpare(Quota&, TimePoint, QuotaGrant&);

    std::unordered_map<TeamName, TeamQuotas> m_quotas;
};

}
