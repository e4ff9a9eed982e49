#include "gateway/instance_census.h"

#include <algorithm>

namespace lycheefield {

void InstanceCensus::onList(const std::vector<InstanceSighting>& sightings, TimePoint now)
{
    std::map<InstanceName, Seen> seen;
    for (const auto& it : sightings) {
        const auto known = m_seen.find(it.name);
        const bool isUnchanged = known != m_seen.end() && known->second.version == it.version;
        const auto changedAt = isUnchanged ? known->second.changedAt : now;
        seen[it.name] = { it.version, changedAt, now - changedAt < lapsedAfterPeriods * refreshPeriod };
    }
    m_seen = std::move(seen);
}

std::uint32_t InstanceCensus::count() const
{
    const auto alive = std::count_if(m_seen.begin(), m_seen.end(), [](const auto& entry) { return entry.second.isAlive; });
    return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, alive));
}

}
