#include "gateway/instance_census.h"

#include <utility>

namespace lycheefield {

bool InstanceCensus::hasEnded(const KnownInstance& known)
{
    return known.declared && known.declared->hasEnded;
}

bool InstanceCensus::isRefreshed(const KnownInstance& known, const InstanceSighting& sighting)
{
    if (sighting.instance.life != known.instance.life)
        return true;
    if (sighting.refreshes > 0)
        return sighting.refreshes > known.refreshes;
    return sighting.version > known.version;
}

std::optional<RoleDeclaration> InstanceCensus::declaredBy(const KnownInstance& known, const InstanceSighting& sighting, TimePoint now) const
{
    if (sighting.instance.life != known.instance.life || !known.declared)
        return sighting.declared;
    // A process that has ended doesn't run again, whatever an older copy of the store says of it.
    if (known.declared->hasEnded)
        return known.declared;
    auto declared = sighting.declared;
    // The copy may lack what the process has declared since, which it declares again within this time.
    if (declared && now < m_keptUntil)
        declared->roles.insert(known.declared->roles.begin(), known.declared->roles.end());
    return declared;
}

InstanceCensus::KnownInstance InstanceCensus::update(const KnownInstance& known, const InstanceSighting& sighting, TimePoint now) const
{
    const bool hasRefreshed = isRefreshed(known, sighting);
    const auto changedAt = hasRefreshed ? now : known.changedAt;
    const bool isSameProcess = sighting.instance.life == known.instance.life;
    const auto refreshes = isSameProcess ? std::max(known.refreshes, sighting.refreshes) : sighting.refreshes;
    return { sighting.version, refreshes, changedAt, now - changedAt < staleAfter, known.isVerified || hasRefreshed, sighting.instance, declaredBy(known, sighting, now) };
}

void InstanceCensus::onList(const std::vector<InstanceSighting>& sightings, TimePoint now)
{
    // An older copy of the store may bring back the object of an instance that has ended.
    const bool isVerified = std::exchange(m_hasList, true) && now >= m_keptUntil;
    std::map<InstanceName, KnownInstance> current;
    for (const auto& it : sightings) {
        const auto known = m_known.find(it.instance.name);
        const bool isNew = known == m_known.end();
        current[it.instance.name] = isNew ? KnownInstance { it.version, it.refreshes, now, true, isVerified, it.instance, it.declared } : update(known->second, it, now);
    }
    if (now < m_keptUntil)
        current.merge(m_known);
    m_known = std::move(current);
}

std::vector<Instance> InstanceCensus::alive() const
{
    std::vector<Instance> instances;
    for (const auto& [name, known] : m_known) {
        if (known.isAlive && !hasEnded(known))
            instances.push_back(known.instance);
    }
    return instances;
}

std::map<InstanceName, ObjectVersion> InstanceCensus::removable(TimePoint now) const
{
    std::map<InstanceName, ObjectVersion> objects;
    for (const auto& [name, known] : m_known) {
        if (now >= std::max(known.changedAt, m_keptUntil) + removableAfter)
            objects.emplace(name, known.version);
    }
    return objects;
}

void InstanceCensus::describe(InstanceListing& listing) const
{
    for (const auto& [name, known] : m_known) {
        if (!known.isAlive)
            continue;
        if (hasEnded(known)) {
            listing.ended.push_back(known.instance);
            continue;
        }
        listing.instances.push_back(known.instance);
        listing.refreshedAt.emplace(name, known.changedAt);
        if (known.declared)
            listing.declared.emplace(name, *known.declared);
        if (!known.isVerified)
            listing.unverified.insert(name);
    }
}

}
