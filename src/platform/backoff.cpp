#include "platform/backoff.h"

#include <algorithm>

namespace lycheefield {

Backoff::Backoff(Duration first, Duration most, std::unique_ptr<RandomSource> random)
    : m_first(first)
    , m_most(most)
    , m_next(first)
    , m_random(std::move(random))
{
}

Duration Backoff::onFailure()
{
    ++m_failures;
    const Duration half = m_next / 2;
    const Duration delay = half + Duration(static_cast<Duration::rep>(m_random->below(static_cast<std::uint64_t>(half.count()) + 1)));
    m_next = std::min(m_most, m_next * 2);
    return delay;
}

void Backoff::onSuccess()
{
    m_failures = 0;
    m_next = m_first;
}

}
