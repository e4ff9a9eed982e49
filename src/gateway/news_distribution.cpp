#include "gateway/news_distribution.h"

#include "base/fingerprint.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace lycheefield {

NewsDistribution::NewsDistribution(InstanceName self, ZoneName zone)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

void NewsDistribution::onPeers(const std::vector<Instance>& instances)
{
    const auto rankKeyOf = [](const Instance& it) { return std::tuple(-it.cores, stableHash(it.name.value()), it.name); };
    m_ranked = instances;
    std::sort(m_ranked.begin(), m_ranked.end(), [&](const auto& a, const auto& b) { return rankKeyOf(a) < rankKeyOf(b); });
}

std::uint32_t NewsDistribution::rank() const
{
    if (m_ranked.empty() || isFirstOfFleet())
        return 0;
    std::uint32_t rank = 1;
    for (const auto& it : m_ranked) {
        if (it.name == m_self)
            break;
        if (it.zone == m_zone)
            ++rank;
    }
    return rank;
}

std::vector<InstanceName> NewsDistribution::zonePeers() const
{
    std::vector<InstanceName> names;
    for (const auto& it : m_ranked) {
        if (it.zone == m_zone && it.name != m_self)
            names.push_back(it.name);
    }
    return names;
}

std::vector<InstanceName> NewsDistribution::recipients() const
{
    auto names = zonePeers();
    if (!isFirstOfFleet()) {
        if (!m_ranked.empty() && m_ranked.front().zone != m_zone)
            names.push_back(m_ranked.front().name);
        return names;
    }
    std::set<ZoneName> notifiedZones { m_zone };
    for (const auto& it : m_ranked) {
        if (notifiedZones.insert(it.zone).second)
            names.push_back(it.name);
    }
    return names;
}

std::vector<InstanceName> NewsDistribution::stateSources() const
{
    auto names = zonePeers();
    names.resize(std::min(names.size(), maxStateSources));
    if (!names.empty()) {
        const auto begin = stableHash(m_self.value()) % names.size();
        std::rotate(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(begin), names.end());
    }
    return names;
}

std::vector<InstanceName> NewsDistribution::crashNewsRecipients() const
{
    std::vector<InstanceName> ring;
    for (const auto& it : m_ranked) {
        if (it.name != m_self)
            ring.push_back(it.name);
    }
    std::sort(ring.begin(), ring.end());
    std::rotate(ring.begin(), std::upper_bound(ring.begin(), ring.end(), m_self), ring.end());
    ring.resize(std::min(ring.size(), maxCrashNewsRecipients));
    return ring;
}

std::vector<InstanceName> NewsDistribution::recipientsOfNewsFrom(const InstanceName& sender) const
{
    // Other instances send news to the first one only when they read the store in its place. Then one of its zone reads the store as well, and
    // tells the zone.
    if (isFirstOfFleet())
        return {};
    const auto it = std::find_if(m_ranked.begin(), m_ranked.end(), [&](const auto& instance) { return instance.name == sender; });
    const bool isFromOtherZone = it != m_ranked.end() && it->zone != m_zone;
    return isFromOtherZone ? zonePeers() : std::vector<InstanceName> {};
}

}
