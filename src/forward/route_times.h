#pragma once

#include "base/time.h"
#include "query/latency_histogram.h"

namespace lycheefield {

/// How long the legs of one route usually take. The quantiles are worked out again only now and
/// then, as a request asks for them many times. Not thread safe.
class RouteTimes {
public:
    void add(Duration took, TimePoint);
    /// The median; the given default until enough answers are in.
    Duration usual(Duration byDefault) const { return m_isKnown ? m_usual : byDefault; }
    /// What 19 of 20 legs stay below; the given default until enough answers are in.
    Duration late(Duration byDefault) const { return m_isKnown ? m_late : byDefault; }

private:
    LatencyHistogram m_histogram;
    Duration m_usual {};
    Duration m_late {};
    TimePoint m_refreshAt {};
    bool m_isKnown = false;
};

}
