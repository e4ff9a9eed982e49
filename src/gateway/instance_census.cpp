#include "gateway/instance_census.h"

namespace lycheefield {

void InstanceCensus::onList(const std::vector<InstanceSighting>& sightings, TimePoint now)
{
    std::map<InstanceName, KnownInstance> current;
    for (const auto& it : sightings) {
        const auto known = m_known.find(it.instance.name);
        const bool isUnchanged = known != m_known.end() && known->second.version == it.version;
        const auto changedAt = isUnchanged ? known->second.changedAt : now;
        current[it.instance.name] = { it.version, changedAt, now - changedAt < staleAfterPeriods * refreshPeriod, it.instance };
    }
    if (now < m_keptUntil)
        current.merge(m_known);
    m_known = std::move(current);
}

std::vector<Instance> InstanceCensus::alive() const
{
    std::vector<Instance> instances;
    for (const auto& [name, known] : m_known) {
        if (known.isAlive)
            instances.push_back(known.instance);
    }
    return instances;
}

}
