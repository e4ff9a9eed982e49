#include "gateway/known_servers.h"

#include "gateway/leaving_servers_log.h"
#include "gateway/zone_drain_log.h"

#include <string>

namespace lycheefield {

KnownServers::KnownServers(Duration renewalPeriod, Duration zoneDrainLimit, const Clock& clock, ForwardDriver& driver, DecisionLog& log)
    : m_clock(clock)
    , m_driver(driver)
    , m_log(log)
    , m_registry(renewalPeriod)
    , m_drains(zoneDrainLimit)
{
}

bool KnownServers::putAll(const std::vector<ServerEntry>& entries)
{
    bool changed = false;
    for (const auto& it : entries)
        changed = m_registry.put(it) || changed;
    return changed;
}

bool KnownServers::take(const ServerChanges& changes, TimePoint now)
{
    if (!changes.isFullList)
        return putAll(changes.listed);
    if (!changes.isNewEpoch)
        return m_registry.replaceAll(changes.listed, now);
    const bool changed = m_registry.replaceAllOfNewEpoch(changes.listed, now);
    logState("store came back from an older copy; servers that it lacks are kept for a while",
        { { "epoch", std::to_string(changes.origin.epoch) }, { "revision", std::to_string(changes.origin.revision) }, { "from", changes.origin.source() }, { "listed", std::to_string(changes.listed.size()) }, { "kept", std::to_string(m_registry.missing()) }, { "held_back", std::to_string(m_registry.heldBack()) } });
    return changed;
}

void KnownServers::apply(const ServerChanges& changes)
{
    const auto now = m_clock.now();
    bool changed = take(changes, now);
    for (const auto& it : changes.removed)
        changed = m_registry.remove(it, now) || changed;
    m_isListed = true;
    m_drains.recordServersKnown(now);
    logLeavingServers(changes, now, m_log);
    if (changed)
        publish();
}

void KnownServers::setDrainedZones(const std::set<ZoneName>& zones, bool isNewEpoch)
{
    const auto now = m_clock.now();
    if (isNewEpoch)
        m_drains.recordNewEpoch(now);
    publishDrains(m_drains.replaceAll(zones, now), now);
    if (m_isHeld)
        publish();
}

void KnownServers::publishDrains(const ZoneDrainChange& change, TimePoint now)
{
    logZoneDrains(change, m_registry.servers(), now, m_log);
    m_driver.setDrainedZones(m_drains.zones());
}

void KnownServers::setStoreReachable(bool isReachable)
{
    if (isReachable == m_isStoreReachable)
        return;
    m_isStoreReachable = isReachable;
    logState(isReachable ? "store reachable" : "store unreachable; keeping the last known servers", {});
    const auto now = m_clock.now();
    // Entries that are removed during an outage may only have expired, so the registry keeps their servers for a while.
    if (!isReachable)
        return m_registry.recordStoreUnreachable(now);
    m_registry.recordStoreReachable(now);
    if (m_registry.expire(now))
        publish();
}

void KnownServers::review()
{
    const auto now = m_clock.now();
    if (m_drains.nextExpiry() <= now)
        publishDrains(m_drains.expire(now), now);
    if (m_registry.expire(now) || m_isHeld)
        publish();
}

void KnownServers::publish()
{
    m_isHeld = !m_drains.mayUseServers(m_clock.now());
    if (m_isHeld)
        return;
    m_driver.setServers(m_registry.servers());
    logState("server list updated", { { "count", std::to_string(m_registry.servers().size()) } });
}

}
