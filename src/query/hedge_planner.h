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
    HedgePlanner(const QuerySettings&, const ZoneName& self);

    /// Returns the class of the service's legs at servers of that zone. The reference is valid as long as the planner.
    LegClass& classOf(const ServiceName&, const ZoneName& serverZone);
    /// Records the time from sending an attempt to its response, or to its cancellation because another was faster.
    void recordLatency(LegClass&, Duration);
    /// Returns how long an attempt of the class may take before it is late; Duration::max() when no attempt is.
    Duration hedgeDelayOf(const LegClass&) const;

    /// Returns the number of hedge delays after which a leg of the query is hedged now. One when few
    /// legs are outstanding, because the answer waits for these; more when many are, as when a message with
    /// many legs was delayed. Zero (no hedge) while less than half of the legs are answered: the
    /// service may be slow, or the content may crash servers.
    double hedgeDelayMultiple(const Query&) const;
    /// Returns the legs to hedge at that time, the longest outstanding first.
    std::vector<std::size_t> lateLegs(const Query&, TimePoint) const;
    /// Returns when the next outstanding leg becomes late; `never` when no leg can be hedged.
    TimePoint nextLate(const Query&, TimePoint) const;

private:
    TimePoint lateAt(const LegState&, double delays) const;

    const QuerySettings& m_settings;
    const ZoneName m_self;
    std::map<std::pair<ServiceName, bool>, LegClass> m_classes;
};

}
