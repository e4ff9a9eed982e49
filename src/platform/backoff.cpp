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
    const auto delay = draw(m_currentMax);
    m_currentMax = std::min(m_max, m_currentMax * 2);
    return delay;
}

Duration Backoff::draw(Duration longest)
{
    const Duration half = longest / 2;
    return half + Duration(static_cast<Duration::rep>(m_random->below(static_cast<std::uint64_t>(half.count()) + 1)));
}

void Backoff::onSuccess()
{
    m_failures = 0;
    m_currentMax = m_initial;
}

}
