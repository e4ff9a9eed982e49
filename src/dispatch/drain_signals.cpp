#include "dispatch/drain_signals.h"

#include <algorithm>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// Maximum lag of a health report.
constexpr Duration healthLag = 10s;
/// Age at which a drain mark is withdrawn: by then the catalog would list the server as leaving, so a server
/// that is not listed as leaving has stayed in service.
constexpr Duration markLifetime = 60s;

}

void DrainSignals::onConnected()
{
    if (!m_isUnreachable)
        return;
    m_isUnreachable = false;
    m_isDrainingByHealth = false;
    m_markedAt = never;
    m_announcedAt = never;
}

void DrainSignals::onHealth(bool isDraining, TimePoint now)
{
    m_isDrainingByHealth = isDraining;
    if (!isDraining && m_markedAt != never && now - m_markedAt > healthLag)
        m_markedAt = never;
}

void DrainSignals::onTimer(TimePoint now)
{
    for (auto* at : { &m_markedAt, &m_announcedAt }) {
        if (*at != never && *at + markLifetime <= now)
            *at = never;
    }
}

TimePoint DrainSignals::nextExpiry() const
{
    const auto first = std::min(m_markedAt, m_announcedAt);
    return first == never ? never : first + markLifetime;
}

}
