#include "membership/ownership.h"

#include "base/fingerprint.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace lycheefield {

namespace {

struct Candidate {
    std::uint64_t score = 0;
    InstanceName name;
};

/// Returns the instances that may own blocks. When every instance is leaving, these are the leaving
/// ones, since their last requests must still be served.
std::vector<const Instance*> candidatesIn(const MembershipView& view)
{
    std::vector<const Instance*> candidates;
    std::vector<const Instance*> leaving;
    for (const auto& [name, instance] : view.instances()) {
        if (instance.canOwn())
            candidates.push_back(&instance);
        else if (instance.health == InstanceHealth::Leaving)
            leaving.push_back(&instance);
    }
    return candidates.empty() ? leaving : candidates;
}

std::vector<const Instance*> candidatesFor(const MembershipView& view, const ZoneName& zone)
{
    constexpr std::size_t minCandidatesInZone = 2;
    const auto all = candidatesIn(view);
    std::vector<const Instance*> inZone;
    std::copy_if(all.begin(), all.end(), std::back_inserter(inZone), [&](const auto* it) { return it->zone == zone; });
    return inZone.size() >= minCandidatesInZone ? inZone : all;
}

BlockOwners rank(const Block& block, const std::vector<const Instance*>& candidates)
{
    const auto seed = stableHash(block.service.value() + '\0' + block.zone.value(), block.index);
    std::vector<Candidate> ranked;
    for (const auto* it : candidates)
        ranked.push_back({ stableHash(it->name.value(), seed), it->name });
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.score > b.score; });
    BlockOwners owners;
    if (!ranked.empty())
        owners.owner = ranked[0].name;
    if (ranked.size() > 1)
        owners.standby = ranked[1].name;
    return owners;
}

}

Ownership::Ownership(const MembershipView& view, const ShardMap& map)
{
    std::map<std::pair<ServiceName, ZoneName>, std::uint32_t> counts;
    for (const auto& [name, server] : map.servers()) {
        const auto n = counts[{ server.service, server.zone }]++;
        m_blocks.emplace(name, Block { server.service, server.zone, n / maxServersPerBlock });
    }
    std::map<ZoneName, std::vector<const Instance*>> candidates;
    for (const auto& [name, block] : m_blocks) {
        if (m_owners.contains(block))
            continue;
        auto it = candidates.find(block.zone);
        if (it == candidates.end())
            it = candidates.emplace(block.zone, candidatesFor(view, block.zone)).first;
        if (!it->second.empty())
            m_owners.emplace(block, rank(block, it->second));
    }
}

Ownership Ownership::ofDirectRouting(const InstanceName& name, const MembershipView& view, const ShardMap& map)
{
    const auto* self = view.find(name);
    Ownership all(self ? MembershipView({ *self }) : MembershipView(), map);
    const auto& instances = view.instances();
    const auto holders = std::count_if(instances.begin(), instances.end(), [](const auto& it) { return it.second.health != InstanceHealth::Gone; });
    all.m_holdersOfServer = std::max(1U, static_cast<std::uint32_t>(holders));
    return all;
}

const BlockOwners* Ownership::ownersOf(const ServerName& name) const
{
    const auto block = m_blocks.find(name);
    if (block == m_blocks.end())
        return nullptr;
    const auto it = m_owners.find(block->second);
    return it == m_owners.end() ? nullptr : &it->second;
}

bool Ownership::holds(const InstanceName& instance, const ServerName& server) const
{
    const auto* owners = ownersOf(server);
    return owners && (owners->owner == instance || owners->standby == instance);
}

}
