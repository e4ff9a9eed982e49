#include "admission/quota_limits.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Time for which the keeper's bucket collects permits beyond the burst, while instances that were denied don't ask.
constexpr double collectionSeconds = 0.35;
/// Largest share of the rate's tolerance that the collected permits may take.
constexpr double collectionShare = 0.7;
/// An answer that travelled this long is still used, so that a window may hold what was granted so long before it.
constexpr double travelSeconds = 0.1;
/// Shares of what is then left of tolerance and slack.
constexpr double aheadShare = 0.2;
constexpr double standbyBurstShare = 0.15;
constexpr double standbyRateShare = 0.4;
constexpr double ownShare = 0.25;

}

QuotaLimits quotaLimitsOf(const Team& team, const AdmissionSettings& settings)
{
    const auto window = std::chrono::duration<double>(settings.quotaWindow).count();
    const auto tolerance = settings.quotaTolerance.value;
    const auto tolerated = tolerance * (team.ratePerSecond * window + team.burst) + settings.quotaSlack;
    QuotaLimits limits;
    limits.ratePerSecond = team.ratePerSecond;
    limits.burst = team.burst;
    const auto collected = std::min(collectionSeconds, collectionShare * tolerance * window) * team.ratePerSecond;
    limits.capacity = std::max(1.0, team.burst + collected);
    const auto rest = std::max(0.0, tolerated - (limits.capacity - team.burst) - travelSeconds * team.ratePerSecond);
    limits.ahead = aheadShare * rest;
    limits.standbyRatePerSecond = std::min(team.ratePerSecond, standbyRateShare * rest / window);
    limits.standbyCapacity = std::min(limits.capacity, standbyBurstShare * rest);
    limits.ownPermits = ownShare * rest;
    return limits;
}

}
