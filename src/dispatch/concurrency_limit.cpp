#include "dispatch/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr Duration initialBackoff = 5ms;
constexpr Duration maxBackoff = 1s;
constexpr double multiplicativeDecrease = 0.5;
/// Total rise of the limit over as many successes as the limit is high.
constexpr double additiveIncrease = 0.02;

}

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
    if (slots == m_slots)
        return;
    m_slots = slots;
    m_limit = slots;
}

void ConcurrencyLimit::onShed(Duration retryAfter, TimePoint now)
{
    // The limit is lowered once per back-off: the other legs shed meanwhile were sent before the limit was lowered.
    if (now >= m_backoffUntil) {
        m_limit = std::max(1.0, m_limit * multiplicativeDecrease);
        m_backoff = std::clamp(m_backoff * 2, initialBackoff, maxBackoff);
    }
    const auto wait = std::min(std::max(retryAfter, m_backoff), maxBackoff);
    m_backoffUntil = std::max(m_backoffUntil, now + wait);
}

void ConcurrencyLimit::onSuccess()
{
    m_backoff = Duration {};
    m_limit = std::min<double>(m_slots, m_limit + additiveIncrease / std::max(1.0, m_limit));
}

void ConcurrencyLimit::beginSlowStart(TimePoint now, Duration time)
{
    m_rampStart = now;
    m_rampTime = time;
}

std::uint32_t ConcurrencyLimit::rampAt(TimePoint now) const
{
    const auto elapsed = now - m_rampStart;
    if (elapsed >= m_rampTime)
        return m_slots;
    const auto share = static_cast<double>(elapsed.count()) / static_cast<double>(m_rampTime.count());
    return std::max(1U, static_cast<std::uint32_t>(share * m_slots));
}

std::uint32_t ConcurrencyLimit::at(TimePoint now) const
{
    if (now < m_backoffUntil)
        return 0;
    return std::min(rampAt(now), std::max(1U, static_cast<std::uint32_t>(m_limit)));
}

TimePoint ConcurrencyLimit::nextChange(TimePoint now) const
{
    if (now < m_backoffUntil)
        return m_backoffUntil;
    const auto n = rampAt(now);
    if (n >= m_slots)
        return never;
    const auto share = static_cast<double>(n + 1) / m_slots;
    const auto at = m_rampStart + Duration(static_cast<Duration::rep>(std::ceil(share * static_cast<double>(m_rampTime.count()))));
    return std::max(at, now + Duration(1ms));
}

}
