#include "admission/configuration_freshness.h"

#include "base/quantity_text.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Part of the limit that is left for clocks that run at slightly different rates.
constexpr int marginDivisor = 50;

}

ConfigurationFreshness::ConfigurationFreshness(Duration limit)
    : m_limit(limit)
{
}

void ConfigurationFreshness::confirm(TimePoint sentAt)
{
    auto known = m_confirmedAt.load();
    while (known < sentAt && !m_confirmedAt.compare_exchange_weak(known, sentAt)) { }
}

TimePoint ConfigurationFreshness::freshUntil() const
{
    if (!isLimited())
        return never;
    const auto confirmedAt = m_confirmedAt.load();
    return confirmedAt == TimePoint {} ? TimePoint {} : confirmedAt + m_limit - m_limit / marginDivisor;
}

Duration ConfigurationFreshness::age(TimePoint now) const
{
    const auto confirmedAt = m_confirmedAt.load();
    return confirmedAt == TimePoint {} ? Duration::max() : now - confirmedAt;
}

std::string ConfigurationFreshness::ageText(TimePoint now) const
{
    const auto current = age(now);
    return current == Duration::max() ? "none" : formatMilliseconds(current);
}

}
