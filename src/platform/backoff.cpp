#include "platform/backoff.h"

#include <algorithm>

namespace lycheefield {

Backoff::Backoff(Duration initial, Duration max, std::unique_ptr<RandomSource> random)
    : m_initial(initial)
    , m_max(max)
    , m_currentMax(initial)
    , m_random(std::move(random))
{
}

Duration Backoff::onFailure()
{
    ++m_failures;
    const Duration half = m_currentMax / 2;
    const Duration delay = half + Duration(static_cast<Duration::rep>(m_random->below(static_cast<std::uint64_t>(half.count()) + 1)));
    m_currentMax = std::min(m_max, m_currentMax * 2);
    return delay;
}

void Backoff::onSuccess()
{
    m_failures = 0;
    m_currentMax = m_initial;
}

}
