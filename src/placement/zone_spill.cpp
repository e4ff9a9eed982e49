#include "placement/zone_spill.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// The share rises from 0 to 1 in this time at the highest pressure, which is longer than a load report is valid.
constexpr Duration riseTime = 500ms;
constexpr Duration fallTime = 3s;
/// Time constant of the average rate of candidates.
constexpr Duration rateTime = 200ms;
/// Longest time for which one observation is taken to hold.
constexpr Duration maxStep = 100ms;
/// The thresholds of the instances are spread by this part around 1.
constexpr double thresholdSpread = 0.2;
/// The share falls below this part of the backlog at which it rises.
constexpr double releaseRatio = 0.6;
/// Requests count as leaving from the first share that left until the second one.
constexpr double spillingStartShare = 0.1;
constexpr double spillingEndShare = 0.02;
/// Weight of a request in the moving average of the share that left.
constexpr double requestWeight = 0.03;
/// Several servers respond in turn, so the load of other zones' servers is known again after this part of a request's time.
constexpr double loadNewsShare = 1.0 / 3;

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
        m_share += ratioOf(step, riseTime) * std::min(1.0, pressure);
    } else if (inputs.backlog < releaseRatio * limit) {
        m_share -= ratioOf(step, fallTime);
    }
    m_share = std::clamp(m_share, 0.0, 1.0);
    const auto candidates = m_candidatesPerSecond * inputs.zoneInstances * loadNewsShare * ratioOf(inputs.requestTime, 1s);
    m_admitted = inputs.headroom / std::max(1.0, candidates);
}

void ZoneSpill::recordCandidate(TimePoint now)
{
    m_candidatesPerSecond = m_candidatesPerSecond * std::exp(-ratioOf(now - m_lastCandidateAt, rateTime)) + 1 / ratioOf(rateTime, 1s);
    m_lastCandidateAt = now;
}

void ZoneSpill::recordSent(bool left)
{
    m_leftShare += requestWeight * ((left ? 1 : 0) - m_leftShare);
    m_isSpilling = m_leftShare >= (m_isSpilling ? spillingEndShare : spillingStartShare);
}

bool ZoneSpill::mayLeave(bool isLate, double draw, TimePoint now) const
{
    return draw < m_admitted * (isLate ? 1 : share(now));
}

}
