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
    void note(LegClass&, Duration);
    /// How long an attempt of that class may take before it is late; `never` is Duration::max().
    Duration delayOf(const LegClass&) const;

    /// True when so few legs are outstanding that the query waits for them in particular.
    bool waitsForFew(const Query&) const;
    /// Legs worth a hedge at that time, the oldest first: the late ones if the query waits for few,
    /// else the very late ones, as when a message with many legs was delayed.
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
