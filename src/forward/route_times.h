#pragma once

#include "base/time.h"
#include "query/latency_histogram.h"

namespace lycheefield {

/// Latency quantiles of one route's legs. The quantiles are cached and recomputed periodically, because
/// each request reads them many times. Not thread safe.
class RouteTimes {
public:
    void add(Duration took, TimePoint);
    /// Returns the median latency, or the default until enough latencies are recorded.
    Duration median(Duration defaultTime) const { return m_isKnown ? m_median : defaultTime; }
    /// Returns the 95 % quantile, or the default until enough latencies are recorded.
    Duration quantile95(Duration defaultTime) const { return m_isKnown ? m_quantile95 : defaultTime; }

private:
    LatencyHistogram m_histogram;
    Duration m_median {};
    Duration m_quantile95 {};
    TimePoint m_refreshAt {};
    bool m_isKnown = false;
};

}
