#include "forward/route_times.h"

namespace lycheefield {

namespace {

constexpr double minSamples = 20;
constexpr Duration refreshPeriod = std::chrono::milliseconds(200);

}

void RouteTimes::add(Duration took, TimePoint now)
{
    m_histogram.add(took);
    if (now < m_refreshAt || m_histogram.weight() < minSamples)
        return;
    m_refreshAt = now + refreshPeriod;
    m_median = m_histogram.quantile(percent(50));
    m_quantile95 = m_histogram.quantile(percent(95));
    m_isKnown = true;
}

}
