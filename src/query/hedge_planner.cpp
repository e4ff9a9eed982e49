#include "query/hedge_planner.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// With fewer samples a quantile is meaningless, and no leg counts as late.
constexpr double minSamples = 100;
/// Up to this number of outstanding legs each one may be hedged, however few legs the query has.
constexpr double alwaysHedgeOutstanding = 4;
constexpr std::uint32_t samplesPerUpdate = 32;

}

HedgePlanner::HedgePlanner(const QuerySettings& settings, const ZoneName& self)
    : m_settings(settings)
    , m_self(self)
{
}

LegClass& HedgePlanner::classOf(const ServiceName& service, const ZoneName& serverZone)
{
    return m_classes[{ service, serverZone == m_self }];
}

void HedgePlanner::recordLatency(LegClass& legClass, Duration latency)
{
    legClass.latencies.add(latency);
    if (legClass.samplesUntilUpdate > 0) {
        --legClass.samplesUntilUpdate;
        return;
    }
    legClass.samplesUntilUpdate = samplesPerUpdate;
    const auto quantile = static_cast<double>(legClass.latencies.quantile(m_settings.hedgeQuantile).count());
    legClass.hedgeDelay = std::max(m_settings.minHedgeDelay, Duration(static_cast<std::int64_t>(quantile * m_settings.hedgeDelayFactor)));
}

Duration HedgePlanner::hedgeDelayOf(const LegClass& legClass) const
{
    return legClass.latencies.weight() < minSamples ? Duration::max() : legClass.hedgeDelay;
}

double HedgePlanner::hedgeDelayMultiple(const Query& query) const
{
    if (!m_settings.hedge || !query.mayHedge || query.openLegs == 0)
        return 0;
    const auto maxOutstanding = std::max(alwaysHedgeOutstanding, m_settings.hedgeWhenOutstanding.value * static_cast<double>(query.legs.size()));
    if (static_cast<double>(query.openLegs) <= maxOutstanding)
        return 1;
    return 2 * query.covered >= query.legs.size() ? m_settings.veryLateFactor : 0;
}

TimePoint HedgePlanner::lateAt(const LegState& leg, double delays) const
{
    if (!leg.isOpen || leg.attempts.empty() || leg.attempts.size() >= m_settings.maxAttempts)
        return never;
    const auto& last = leg.attempts.back();
    if (!last.isOpen)
        return never;
    const auto delay = hedgeDelayOf(*last.legClass);
    return delay == Duration::max() ? never : last.sentAt + Duration(static_cast<std::int64_t>(delays * static_cast<double>(delay.count())));
}

std::vector<std::size_t> HedgePlanner::lateLegs(const Query& query, TimePoint now) const
{
    std::vector<std::size_t> late;
    const auto delays = hedgeDelayMultiple(query);
    if (delays <= 0)
        return late;
    for (std::size_t i = 0; i < query.legs.size(); ++i) {
        if (query.legs[i].isOpen && lateAt(query.legs[i], delays) <= now)
            late.push_back(i);
    }
    std::sort(late.begin(), late.end(), [&](auto a, auto b) { return query.legs[a].attempts.back().sentAt < query.legs[b].attempts.back().sentAt; });
    return late;
}

TimePoint HedgePlanner::nextLate(const Query& query, TimePoint now) const
{
    auto next = never;
    const auto delays = hedgeDelayMultiple(query);
    if (delays <= 0)
        return next;
    for (const auto& it : query.legs) {
        const auto at = it.isOpen ? lateAt(it, delays) : never;
        if (at > now)
            next = std::min(next, at);
    }
    return next;
}

}
