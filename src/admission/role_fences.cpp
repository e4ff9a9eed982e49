#include "admission/role_fences.h"

namespace lycheefield {

const RoleFence* RoleFences::find(const TeamRole& role, TimePoint now) const
{
    const auto it = m_claimed.find(role);
    return it == m_claimed.end() || now >= it->second.latest.recordedAt + lifetime ? nullptr : &it->second.latest;
}

bool RoleFences::admits(const TeamRole& role, const StoreRevision& revision, const InstanceName& claimant, TimePoint now) const
{
    const auto* fence = find(role, now);
    return !fence || revision > fence->revision || (revision == fence->revision && claimant == fence->claimant);
}

void RoleFences::record(const TeamRole& role, const RoleFence& fence)
{
    auto& claimed = m_claimed[role];
    claimed.latest = fence;
    claimed.claimants[fence.claimant] = fence;
}

std::vector<RoleFence> RoleFences::claimsOf(const TeamRole& role, const InstanceName& except, TimePoint now) const
{
    std::vector<RoleFence> claims;
    const auto it = m_claimed.find(role);
    if (it == m_claimed.end())
        return claims;
    for (const auto& [name, claim] : it->second.claimants) {
        if (name != except && now < claim.recordedAt + lifetime)
            claims.push_back(claim);
    }
    return claims;
}

void RoleFences::forgetExpired(TimePoint now)
{
    const auto isExpired = [now](const auto& it) { return now >= it.second.recordedAt + lifetime; };
    for (auto& [role, claimed] : m_claimed)
        std::erase_if(claimed.claimants, isExpired);
    std::erase_if(m_claimed, [](const auto& it) { return it.second.claimants.empty(); });
}

}
