#include "forward/route_times.h"

namespace lycheefield {

namespace {

constexpr double leastSamples = 20;
constexpr Duration refreshPeriod = std::chrono::milliseconds(200);

}

void RouteTimes::add(Duration took, TimePoint now)
{
    m_histogram.add(took);
    if (now < m_refreshAt || m_histogram.weight() < leastSamples)
        return;
    m_refreshAt = now + refreshPeriod;
    m_usual = m_histogram.quantile(percent(50));
    m_late = m_histogram.quantile(percent(95));
    m_isKnown = true;
}

}
