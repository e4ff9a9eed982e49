#include "admission/quota_keeper.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheefield {

namespace {

/// Covers rounding errors of a bucket that has been filled in steps.
constexpr double rounding = 1e-6;
/// Permits that others may need sooner: only this share of the bucket is granted ahead in one call.
constexpr double aheadShareOfLevel = 0.5;
/// A spare permit is added while the bucket holds more than this share.
constexpr double nearlyFull = 0.75;

Duration timeFor(double permits, double perSecond)
{
    constexpr double microseconds = 1e6;
    constexpr double mostSeconds = 3600;
    const auto seconds = perSecond > 0 ? std::min(mostSeconds, permits / perSecond) : mostSeconds;
    return Duration(static_cast<Duration::rep>(std::ceil(seconds * microseconds)));
}

}

void QuotaKeeper::start(const TeamRole& role, const QuotaLimits& limits, const QuotaCredit& credit, TimePoint now)
{
    Quota quota;
    quota.role = role.role;
    quota.limits = limits;
    quota.level = std::clamp(credit.level, 0.0, quota.capacity());
    quota.refilledAt = now;
    quota.outstanding.add(credit.outstanding, OutstandingPermits::maxLifetime, now);
    m_quotas[role.team].of(role.role) = quota;
}

QuotaCredit QuotaKeeper::stop(const TeamRole& role, TimePoint now)
{
    const auto it = m_quotas.find(role.team);
    if (it == m_quotas.end())
        return {};
    const auto quota = std::exchange(it->second.of(role.role), std::nullopt);
    if (!it->second.keeper && !it->second.standby)
        m_quotas.erase(it);
    if (!quota)
        return {};
    auto left = *quota;
    refill(left, now);
    return { std::max(0.0, left.level), left.outstanding.count(now) };
}

void QuotaKeeper::setLimits(const TeamName& team, const QuotaLimits& limits, TimePoint now)
{
    const auto it = m_quotas.find(team);
    if (it == m_quotas.end())
        return;
    for (auto* quota : { &it->second.keeper, &it->second.standby }) {
        if (*quota)
            setLimits(**quota, limits, now);
    }
}

void QuotaKeeper::setLimits(Quota& quota, const QuotaLimits& limits, TimePoint now)
{
    refill(quota, now);
    quota.limits = limits;
    quota.level = std::min(quota.level, quota.capacity());
}

void QuotaKeeper::refill(Quota& quota, TimePoint now)
{
    if (now <= quota.refilledAt)
        return;
    const auto seconds = std::chrono::duration<double>(now - quota.refilledAt).count();
    quota.refilledAt = now;
    // Permits that are held unused count as part of the bucket, so that they and a full bucket aren't used at once.
    const auto held = quota.role == QuotaRole::Keeper ? std::max(0.0, quota.outstanding.count(now) - quota.limits.ahead) : 0.0;
    const auto most = std::max(quota.level, quota.capacity() - held);
    quota.level = std::min(most, quota.level + seconds * quota.rate());
}

std::uint32_t QuotaKeeper::take(Quota& quota, double most)
{
    const auto permits = std::floor(std::max(0.0, std::min(most, quota.level) + rounding));
    quota.level -= permits;
    return static_cast<std::uint32_t>(permits);
}

void QuotaKeeper::grantWaiting(Quota& quota, std::uint32_t requests, QuotaGrant& grant)
{
    grant.permits = take(quota, requests);
    grant.lifetime = aheadLifetime;
    if (grant.permits < requests)
        grant.retryAfter = timeFor(1 - quota.level, quota.rate());
}

void QuotaKeeper::grantAhead(Quota& quota, std::uint32_t requests, TimePoint now, QuotaGrant& grant)
{
    if (quota.role != QuotaRole::Keeper || grant.retryAfter > Duration {})
        return;
    // The bucket keeps room for the requests that other instances have waiting.
    const auto room = quota.limits.burst - 1 + quota.limits.ahead - quota.outstanding.count(now);
    const auto permits = take(quota, std::min({ static_cast<double>(requests), room, aheadShareOfLevel * quota.level }));
    quota.outstanding.add(permits, aheadLifetime, now);
    grant.permits += permits;
    grant.lifetime = aheadLifetime;
}

void QuotaKeeper::grantSpare(Quota& quota, TimePoint now, QuotaGrant& grant)
{
    if (quota.role != QuotaRole::Keeper || quota.level < nearlyFull * quota.capacity() || quota.level < 2)
        return;
    if (quota.outstanding.count(now) + 1 > quota.limits.ahead)
        return;
    const auto spare = take(quota, 1);
    grant.permits += spare;
    grant.lifetime = spareLifetime;
    quota.outstanding.add(spare, spareLifetime, now);
}

QuotaReply QuotaKeeper::answer(const QuotaCall& call, TimePoint now)
{
    QuotaReply reply { call.sequence, {} };
    for (const auto& wish : call.wishes) {
        const auto it = m_quotas.find(wish.team);
        if (it == m_quotas.end() || (wish.isForKeeper && !it->second.keeper))
            continue;
        auto& quota = it->second.keeper ? *it->second.keeper : *it->second.standby;
        if (quota.capacity() < 1)
            continue;
        refill(quota, now);
        if (!reply.grants.empty() && reply.grants.back().team == wish.team) {
            grantAhead(quota, wish.requests, now, reply.grants.back());
            continue;
        }
        auto& grant = reply.grants.emplace_back();
        grant.team = wish.team;
        grantWaiting(quota, wish.requests, grant);
        if (wish.requests == 1 && grant.permits == 1)
            grantSpare(quota, now, grant);
    }
    return reply;
}

}
