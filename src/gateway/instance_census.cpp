#include "gateway/instance_census.h"

namespace lycheefield {

void InstanceCensus::onList(const std::vector<InstanceSighting>& sightings, TimePoint now)
{
    std::map<InstanceName, Seen> seen;
    for (const auto& it : sightings) {
        const auto known = m_seen.find(it.instance.name);
        const bool isUnchanged = known != m_seen.end() && known->second.version == it.version;
        const auto changedAt = isUnchanged ? known->second.changedAt : now;
        seen[it.instance.name] = { it.version, changedAt, now - changedAt < lapsedAfterPeriods * refreshPeriod, it.instance };
    }
    m_seen = std::move(seen);
}

std::vector<Instance> InstanceCensus::alive() const
{
    std::vector<Instance> instances;
    for (const auto& [name, seen] : m_seen) {
        if (seen.isAlive)
            instances.push_back(seen.instance);
    }
    return instances;
}

}
