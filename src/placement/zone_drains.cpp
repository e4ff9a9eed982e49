#include "placement/zone_drains.h"

namespace lycheefield {

ZoneDrains::ZoneDrains(Duration limit)
    : m_limit(limit)
    , m_isKnown(limit == Duration {})
{
}

ZoneDrainChange ZoneDrains::replaceAll(const std::set<ZoneName>& zones, TimePoint now)
{
    m_isKnown = true;
    ZoneDrainChange change;
    for (const auto& [zone, since] : m_since) {
        if (!zones.contains(zone))
            change.ended.push_back({ zone, now - since });
    }
    for (const auto& it : change.ended)
        m_since.erase(it.zone);
    for (const auto& it : zones) {
        if (m_since.emplace(it, now).second)
            change.begun.push_back(it);
    }
    return change;
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
