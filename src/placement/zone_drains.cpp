#include "placement/zone_drains.h"

#include <algorithm>

namespace lycheefield {

ZoneDrains::ZoneDrains(Duration limit)
    : m_limit(limit)
    , m_isKnown(limit == Duration {})
{
}

ZoneDrainChange ZoneDrains::replaceAll(const std::set<ZoneName>& zones, TimePoint now)
{
    m_isKnown = true;
    m_missing.clear();
    std::erase_if(m_unconfirmed, [&](const auto& it) { return zones.contains(it.first); });
    for (const auto& [zone, since] : m_since) {
        const auto kept = m_unconfirmed.find(zone);
        if (!zones.contains(zone))
            m_missing.emplace(zone, kept == m_unconfirmed.end() ? now : kept->second);
    }
    auto change = expire(now);
    for (const auto& it : zones) {
        if (m_since.emplace(it, now).second)
            change.begun.push_back(it);
    }
    return change;
}

void ZoneDrains::recordNewEpoch(TimePoint now)
{
    for (const auto& it : zones())
        m_unconfirmed.emplace(it, now + keptInNewEpoch);
}

ZoneDrainChange ZoneDrains::expire(TimePoint now)
{
    ZoneDrainChange change;
    for (const auto& [zone, until] : m_missing) {
        if (until > now)
            continue;
        const auto it = m_since.find(zone);
        change.ended.push_back({ zone, now - it->second });
        m_unconfirmed.erase(zone);
        m_since.erase(it);
    }
    std::erase_if(m_missing, [&](const auto& it) { return it.second <= now; });
    return change;
}

TimePoint ZoneDrains::nextExpiry() const
{
    TimePoint next = never;
    for (const auto& [zone, until] : m_missing)
        next = std::min(next, until);
    return next;
}

std::set<ZoneName> ZoneDrains::zones() const
{
    std::set<ZoneName> zones;
    for (const auto& [zone, since] : m_since)
        zones.insert(zone);
    return zones;
}

void ZoneDrains::recordServersKnown(TimePoint now)
{
    if (m_waitEnds == never)
        m_waitEnds = now + m_limit;
}

bool ZoneDrains::mayUseServers(TimePoint now) const
{
    return m_isKnown || now >= m_waitEnds;
}

}
