#pragma once

#include "query/leg_class.h"
#include "query/query.h"
#include "query/query_settings.h"

#include <map>
#include <utility>
#include <vector>

namespace lycheefield {

/// Decides when a leg is late for its class, and which legs of a query are to be hedged.
/// Not thread safe.
class HedgePlanner {
public:
    /// Plans for an entry in zone `self`. The settings must outlive the planner.
    HedgePlanner(const QuerySettings&, const ZoneName& self);

    /// Returns the class of the service's legs at servers of that zone. All zones other than the entry's
    /// own share one class. The reference stays valid while the planner exists.
    LegClass& classOf(const ServiceName&, const ZoneName& serverZone);
    /// Records the time from sending an attempt to its response, or to its cancellation because another attempt was faster.
    void recordLatency(LegClass&, Duration);
    /// Returns how long an attempt of the class may take before it is late; Duration::max() while the
    /// class has too few samples to tell.
    Duration hedgeDelayOf(const LegClass&) const;

    /// Returns the number of hedge delays after which a leg of the query is hedged now:
    /// - one while few legs are outstanding, because the answer waits only for these;
    /// - more while many are outstanding and at least half are answered, for example because a message
    ///   with many legs was delayed;
    /// - zero (no hedge) while many are outstanding and less than half are answered, because the service
    ///   may be slow or the content may crash servers, and when the query must not be hedged at all.
    double hedgeDelayMultiple(const Query&) const;
    /// Returns the legs to hedge at that time, the leg with the oldest last attempt first.
    std::vector<std::size_t> lateLegs(const Query&, TimePoint) const;
    /// Returns the first time after the given one at which an outstanding leg becomes late; `never` when there is none.
    TimePoint nextLate(const Query&, TimePoint) const;

private:
    TimePoint lateAt(const LegState&, double delays) const;

    const QuerySettings& m_settings;
    const ZoneName m_self;
    std::map<std::pair<ServiceName, bool>, LegClass> m_classes;
};

}
