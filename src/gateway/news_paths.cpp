#include "gateway/news_paths.h"

#include "base/fingerprint.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace lycheefield {

NewsPaths::NewsPaths(InstanceName self, ZoneName zone)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

void NewsPaths::onPeers(const std::vector<Instance>& instances)
{
    const auto placeOf = [](const Instance& it) { return std::tuple(-it.cores, stableHash(it.name.value()), it.name); };
    m_ranked = instances;
    std::sort(m_ranked.begin(), m_ranked.end(), [&](const auto& a, const auto& b) { return placeOf(a) < placeOf(b); });
}

std::uint32_t NewsPaths::rank() const
{
    if (m_ranked.empty() || isFirstOfAll())
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

std::vector<InstanceName> NewsPaths::othersOfZone() const
{
    std::vector<InstanceName> names;
    for (const auto& it : m_ranked) {
        if (it.zone == m_zone && it.name != m_self)
            names.push_back(it.name);
    }
    return names;
}

std::vector<InstanceName> NewsPaths::toTell() const
{
    auto names = othersOfZone();
    if (!isFirstOfAll())
        return names;
    std::set<ZoneName> told { m_zone };
    for (const auto& it : m_ranked) {
        if (told.insert(it.zone).second)
            names.push_back(it.name);
    }
    return names;
}

std::vector<InstanceName> NewsPaths::toTellFrom(const InstanceName& teller) const
{
    const auto it = std::find_if(m_ranked.begin(), m_ranked.end(), [&](const auto& instance) { return instance.name == teller; });
    const bool isFromOutside = it != m_ranked.end() && it->zone != m_zone;
    return isFromOutside ? othersOfZone() : std::vector<InstanceName> {};
}

}
