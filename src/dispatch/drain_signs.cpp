#include "dispatch/drain_signs.h"

#include <algorithm>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// How long a health report may lag behind.
constexpr Duration healthLag = 10s;
/// A server that was marked this long ago and that the catalog doesn't call leaving has stayed.
constexpr Duration markLifetime = 60s;

}

void DrainSigns::onConnected()
{
    if (!m_isUnreachable)
        return;
    m_isUnreachable = false;
    m_isDrainingByHealth = false;
    m_answeredAt = never;
    m_newsAt = never;
}

void DrainSigns::onHealth(bool isDraining, TimePoint now)
{
    m_isDrainingByHealth = isDraining;
    if (!isDraining && m_answeredAt != never && now - m_answeredAt > healthLag)
        m_answeredAt = never;
}

void DrainSigns::onTime(TimePoint now)
{
    for (auto* at : { &m_answeredAt, &m_newsAt }) {
        if (*at != never && *at + markLifetime <= now)
            *at = never;
    }
}

TimePoint DrainSigns::lapsesAt() const
{
    const auto first = std::min(m_answeredAt, m_newsAt);
    return first == never ? never : first + markLifetime;
}

}
