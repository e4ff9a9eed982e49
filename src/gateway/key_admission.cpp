#include "gateway/key_admission.h"

#include <utility>

namespace lycheefield {

KeyAdmission::KeyAdmission(const ConfigurationFreshness& freshness, const Clock& clock, DecisionLog& log, Metrics& metrics)
    : m_freshness(freshness)
    , m_clock(clock)
    , m_log(log)
{
    if (freshness.isLimited())
        metrics.gauge("lycheefield_configuration_age_seconds", [&] { return std::chrono::duration<double>(freshness.age(clock.now())).count(); });
}

bool KeyAdmission::update(const RouteTable* table)
{
    const auto now = m_clock.now();
    const bool isPossible = !table || !table->teams || m_freshness.isFresh(now);
    if (std::exchange(m_isPossible, isPossible) != isPossible)
        m_log.write(LineImportance::State, now, isPossible ? "configuration current again; API keys are admitted" : "configuration may be outdated; requests with API keys are refused until it is confirmed", { { "age_ms", m_freshness.ageText(now) } });
    return isPossible;
}

}
