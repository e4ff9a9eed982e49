#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace lycheefield {

/// The drains that one update of the list began and ended.
struct ZoneDrainChange {
    /// A drain that ended, and how long it was known here.
    struct Ended {
        ZoneName zone;
        Duration lasted {};

        friend bool operator==(const Ended&, const Ended&) = default;
    };
    std::vector<ZoneName> begun;
    std::vector<Ended> ended;

    friend bool operator==(const ZoneDrainChange&, const ZoneDrainChange&) = default;
};

/// The availability zones that are drained: their servers get no new work until the drain ends.
///
/// A process that starts doesn't know which zones are free. Until it has a first list of the drains it may use no
/// server, but no longer than the limit on drains: past that time the list can't be had, and a process that refused all
/// requests would turn the loss of one list into an outage. Performs no I/O. Not thread safe.
class ZoneDrains {
public:
    /// After the store came back from an older copy. The platform promises no time within which the operator writes a lost drain again; work in a
    /// drained zone is worse than a zone that stays without it for so long.
    static constexpr Duration keptInNewEpoch = std::chrono::seconds(30);

    /// limit: longest time until a drain must be in force; zero: drains are not followed, and no zone is ever drained.
    explicit ZoneDrains(Duration limit);

    /// Replaces the list and returns what has changed.
    ZoneDrainChange replaceAll(const std::set<ZoneName>&, TimePoint);
    /// Records that the store came back from an older copy: for keptInNewEpoch a drain that no list has had since is kept, as the operator writes
    /// again what was lost. A further return doesn't prolong that time.
    void recordNewEpoch(TimePoint);
    /// Ends the drains that the list still lacks at the end of that time, and returns what has changed.
    ZoneDrainChange expire(TimePoint);
    /// Returns when expire must run next; `never` when no drain is kept without being listed.
    TimePoint nextExpiry() const;
    /// Starts the wait for a first list of the drains. Only the first call counts.
    void recordServersKnown(TimePoint);
    /// Returns whether servers may get work: the drains are known, or the wait for them has ended.
    bool mayUseServers(TimePoint now) const;
    /// Returns the zones whose drains are in force.
    std::set<ZoneName> zones() const;
    std::size_t count() const { return m_since.size(); }

private:
    Duration m_limit;
    bool m_isKnown;
    TimePoint m_waitEnds = never;
    std::map<ZoneName, TimePoint> m_unconfirmed; ///< Drains that no list has had since the store came back, and until when they are kept.
    std::map<ZoneName, TimePoint> m_missing; ///< Drains in force that the list lacks, and their ends.
    std::map<ZoneName, TimePoint> m_since; ///< The drained zones, and when this process learned of each drain.
};

}
