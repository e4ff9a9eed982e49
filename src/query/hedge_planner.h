#pragma once

#include "query/leg_class.h"
#include "query/query.h"
#include "query/query_settings.h"

#include <map>
#include <utility>
#include <vector>

namespace lycheefield {

/// Decides when a leg is late for its class, and which legs of a query are worth a hedge.
/// Not thread safe.
class HedgePlanner {
public:
    HedgePlanner(const QuerySettings&, const ZoneName& self);

    /// The class of legs of that service at a server of that zone. It lives as long as the planner.
    LegClass& classOf(const ServiceName&, const ZoneName& serverZone);
    /// One leg's time from sending to its answer, or to its cancellation as the loser.
    void recordLatency(LegClass&, Duration);
    /// How long an attempt of that class may take before it is late; `never` is Duration::max().
    Duration hedgeDelayOf(const LegClass&) const;

    /// After how many hedge delays a leg of the query is worth a hedge now. One if so few legs are
    /// outstanding that the query waits for them in particular; more if many are, as when a message with
    /// many legs was delayed. Zero, for no hedge, while less than half of the legs are answered: the
    /// service may be slow, or the content may harm servers.
    double hedgeDelayMultiple(const Query&) const;
    /// Legs worth a hedge at that time, the oldest first.
    std::vector<std::size_t> lateLegs(const Query&, TimePoint) const;
    /// When the next outstanding leg will be late; `never` when none can be hedged.
    TimePoint nextLate(const Query&, TimePoint) const;

private:
    TimePoint lateAt(const LegState&, double delays) const;

    const QuerySettings& m_settings;
    const ZoneName m_self;
    std::map<std::pair<ServiceName, bool>, LegClass> m_classes;
};

}
