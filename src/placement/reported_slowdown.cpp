#include "placement/reported_slowdown.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr double maxSlowdown = 12;
/// Weight of a new report against the previous ones, if those are still valid.
constexpr double reportWeight = 0.5;
/// The weight of a report falls linearly to zero over this time.
constexpr Duration reportLifetime = 400ms;
constexpr double trustGain = 0.1;
constexpr double trustLoss = 0.3;
/// Errors whose logarithms differ by less say nothing about the report.
constexpr double minErrorDifference = 0.1;

double errorOf(double predicted, double sample)
{
    return std::abs(std::log(sample / predicted));
}

}

double ReportedSlowdown::weight(TimePoint now) const
{
    const auto age = static_cast<double>((now - m_reportedAt).count()) / static_cast<double>(reportLifetime.count());
    return std::clamp(1 - age, 0.0, 1.0);
}

void ReportedSlowdown::record(double slowdown, TimePoint now)
{
    const auto previous = 1 + (m_slowdown - 1) * weight(now);
    const auto newest = std::clamp(slowdown, 1.0, maxSlowdown);
    m_slowdown = static_cast<float>(previous + reportWeight * (newest - previous));
    m_reportedAt = now;
}

void ReportedSlowdown::recordSample(double sample, double observed, TimePoint now)
{
    const auto reported = 1 + (m_slowdown - 1) * weight(now);
    if (sample <= 0 || reported <= observed)
        return;
    const auto difference = errorOf(reported, sample) - errorOf(observed, sample);
    if (difference > minErrorDifference)
        m_trust -= static_cast<float>(trustLoss * m_trust);
    else if (difference < -minErrorDifference)
        m_trust += static_cast<float>(trustGain * (1 - m_trust));
}

double ReportedSlowdown::combinedWith(double observed, TimePoint now) const
{
    if (m_slowdown <= 1)
        return observed;
    const auto reported = 1 + (m_slowdown - 1) * weight(now);
    return observed + m_trust * std::max(0.0, reported - observed);
}

}
