#include "forward/extra_attempt_budget.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

namespace {

/// Share of the ratio that is spent; the rest is a reserve, because the instances' windows are not aligned.
constexpr double usableRatioShare = 0.85;
/// Share of the fleet's slack that all instances together spend; the rest is a reserve, because an
/// instance's count starts at zero after a restart.
constexpr double usableSlackShare = 0.45;

}

double slackShare(double fleetSlack, std::uint32_t instances)
{
    const auto share = usableSlackShare * fleetSlack / instances;
    return std::max(share, std::round(share));
}

void ExtraAttemptBudget::advance(TimePoint now, Duration window)
{
    const auto sliceLength = std::max<Duration::rep>(1, window.count() / static_cast<Duration::rep>(slices));
    const auto slice = now.time_since_epoch().count() / sliceLength;
    const auto count = static_cast<std::int64_t>(m_firsts.size());
    const auto first = std::max(m_slice + 1, slice - count + 1);
    for (auto i = first; i <= slice; ++i) {
        const auto at = static_cast<std::size_t>(i % count);
        m_firstSum -= m_firsts[at];
        m_extraSum -= m_extras[at];
        m_firsts[at] = 0;
        m_extras[at] = 0;
    }
    m_slice = std::max(m_slice, slice);
}

void ExtraAttemptBudget::recordFirst(TimePoint now, Duration window)
{
    advance(now, window);
    ++m_firsts[static_cast<std::size_t>(m_slice) % m_firsts.size()];
    ++m_firstSum;
}

bool ExtraAttemptBudget::hasExtra(TimePoint now, const ExtraAttemptBudgetLimits& limits)
{
    advance(now, limits.window);
    return m_extraSum + 1 <= usableRatioShare * limits.ratio.value * m_firstSum + limits.slack;
}

bool ExtraAttemptBudget::takeExtra(TimePoint now, const ExtraAttemptBudgetLimits& limits)
{
    if (!hasExtra(now, limits))
        return false;
    ++m_extras[static_cast<std::size_t>(m_slice) % m_extras.size()];
    ++m_extraSum;
    return true;
}

}
