#include "placement/zone_spill.h"

#include <algorithm>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// The share rises from 0 to 1 in this time at the highest pressure, which is longer than a load report is valid.
constexpr Duration riseTime = 600ms;
constexpr Duration fallTime = 3s;
/// Longest time for which one observation is taken to hold.
constexpr Duration maxStep = 100ms;
/// The thresholds of the instances are spread by this part around 1.
constexpr double thresholdSpread = 0.2;
/// The share falls below this part of the backlog at which it rises.
constexpr double releaseRatio = 0.6;
/// The share from which requests count as leaving.
constexpr double minSpillingShare = 0.05;

double ratioOf(Duration part, Duration whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

}

double tolerableRequests(double slots, Duration requestTime, Duration maxWait)
{
    return slots * (1 + ratioOf(maxWait, std::max(requestTime, Duration(1))));
}

ZoneSpill::ZoneSpill(double threshold)
    : m_threshold(1 + thresholdSpread * (2 * threshold - 1))
{
}

double ZoneSpill::share(TimePoint now) const
{
    const auto unobserved = std::max(Duration {}, Duration(now - m_updatedAt) - maxStep);
    return std::max(0.0, m_share - ratioOf(unobserved, fallTime));
}

void ZoneSpill::update(const ZoneSpillInputs& inputs, TimePoint now)
{
    const auto step = std::min(maxStep, Duration(now - m_updatedAt));
    m_share = share(now);
    m_updatedAt = now;
    m_inputs = inputs;
    const auto limit = inputs.capacity * m_threshold;
    if (inputs.headroom <= 0) {
        m_share -= ratioOf(step, riseTime);
    } else if (inputs.backlog > limit) {
        const auto pressure = inputs.capacity > 0 ? inputs.backlog / limit - 1 : 1;
        const auto room = inputs.headroom / std::max(inputs.headroom, inputs.backlog - limit);
        m_share += ratioOf(step, riseTime) * std::min(1.0, pressure) * room;
    } else if (inputs.backlog < releaseRatio * limit) {
        m_share -= ratioOf(step, fallTime);
    }
    m_share = std::clamp(m_share, 0.0, 1.0);
    m_isSpilling = m_isSpilling ? m_share > 0 : m_share >= minSpillingShare;
}

bool ZoneSpill::mayLeaveLate(double draw) const
{
    return draw * std::max(1.0, m_inputs.excess()) < m_inputs.headroom;
}

}
