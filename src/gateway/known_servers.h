#pragma once

#include "base/clock.h"
#include "forward/server_registry.h"
#include "gateway/forward_driver.h"
#include "gateway/server_changes.h"
#include "observe/decision_log.h"
#include "placement/zone_drains.h"

#include <algorithm>
#include <set>

namespace lycheefield {

/// The backend servers that the platform's store lists and the drains of their zones, as the driver is told of them. Not thread safe.
class KnownServers {
public:
    /// renewalPeriod: see ServerRegistry. zoneDrainLimit: see ZoneDrains. Precondition: the clock, the driver and the log outlive the object.
    KnownServers(Duration renewalPeriod, Duration zoneDrainLimit, const Clock&, ForwardDriver&, DecisionLog&);

    void apply(const ServerChanges&);
    /// Replaces the zones whose servers get no new work. isNewEpoch: see ServerChanges; drains that are known here and not listed are kept for a while.
    void setDrainedZones(const std::set<ZoneName>&, bool isNewEpoch);
    /// Records whether the last call to the store succeeded.
    void setStoreReachable(bool);
    /// Ends grace periods and the wait for the first list of drains if they are over. Must be called no later than nextReview().
    void review();
    /// Returns when review() must run next; `never` when nothing is scheduled.
    TimePoint nextReview() const { return std::min(m_registry.nextExpiry(), m_drains.nextExpiry()); }

    /// Returns whether a list of servers is known and its servers may get work.
    bool mayGetWork() const { return m_isListed && !m_isHeld; }
    bool isStoreReachable() const { return m_isStoreReachable; }
    std::size_t count() const { return m_registry.servers().size(); }
    std::size_t drainedZones() const { return m_drains.count(); }

private:
    /// Adds or updates the entries. Returns whether the servers changed.
    bool putAll(const std::vector<ServerEntry>&);
    /// Adds or replaces the listed entries. Returns whether the servers changed.
    bool take(const ServerChanges&, TimePoint);
    /// Logs the change of the drains and passes those in force to the driver.
    void publishDrains(const ZoneDrainChange&, TimePoint);
    /// Passes the servers to the driver, unless they are held.
    void publish();
    void logState(std::string_view event, std::initializer_list<LineField> fields) { m_log.write(LineImportance::State, m_clock.now(), event, fields); }

    const Clock& m_clock;
    ForwardDriver& m_driver;
    DecisionLog& m_log;
    ServerRegistry m_registry;
    ZoneDrains m_drains;
    bool m_isListed = false;
    bool m_isHeld = false; ///< The servers get no work yet, because the drained zones are not known.
    bool m_isStoreReachable = false;
};

}
