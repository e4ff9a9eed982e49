#include "gateway/instance_census.h"

namespace lycheefield {

bool InstanceCensus::isRefreshed(const KnownInstance& known, const InstanceSighting& sighting)
{
    if (sighting.instance.life != known.instance.life)
        return true;
    if (sighting.refreshes > 0)
        return sighting.refreshes > known.refreshes;
    return sighting.version > known.version;
}

InstanceCensus::KnownInstance InstanceCensus::update(const KnownInstance& known, const InstanceSighting& sighting, TimePoint now)
{
    const auto changedAt = isRefreshed(known, sighting) ? now : known.changedAt;
    const bool isSameProcess = sighting.instance.life == known.instance.life;
    const auto refreshes = isSameProcess ? std::max(known.refreshes, sighting.refreshes) : sighting.refreshes;
    return { sighting.version, refreshes, changedAt, now - changedAt < staleAfter, sighting.instance };
}

void InstanceCensus::onList(const std::vector<InstanceSighting>& sightings, TimePoint now)
{
    std::map<InstanceName, KnownInstance> current;
    for (const auto& it : sightings) {
        const auto known = m_known.find(it.instance.name);
        const bool isNew = known == m_known.end();
        current[it.instance.name] = isNew ? KnownInstance { it.version, it.refreshes, now, true, it.instance } : update(known->second, it, now);
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
