#include "platform/call_pause.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

CallPause::CallPause(std::uint32_t failuresBeforePause, Backoff backoff)
    : m_failuresBeforePause(failuresBeforePause)
    , m_backoff(std::move(backoff))
{
}

void CallPause::onRefusal(TimePoint now)
{
    const auto delay = m_backoff.onFailure();
    if (m_backoff.failures() >= m_failuresBeforePause)
        m_until = now + delay;
}

Duration CallPause::left(TimePoint now) const
{
    return std::max(m_until - now, Duration {});
}

}
