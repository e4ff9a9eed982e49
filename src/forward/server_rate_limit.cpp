#include "forward/server_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

namespace {

constexpr double microsPerSecond = 1e6;
constexpr double expirySeconds = 1;
/// Waits are cut off here, so that a tiny share does not overflow a Duration.
constexpr Duration maxWait = std::chrono::minutes(10);

}

double ServerRateLimit::tokensAt(TimePoint now) const
{
    const auto elapsed = static_cast<double>((now - m_filledAt).count()) / microsPerSecond;
    const auto tokens = m_tokens + elapsed * m_share.perSecond;
    if (!m_share.expires)
        return std::min(m_share.burst, tokens);
    const auto expiry = 1 + expirySeconds * m_share.perSecond;
    return tokens <= expiry ? tokens : tokens - std::ceil(tokens - expiry);
}

void ServerRateLimit::set(const RateShare& share, double tokens, TimePoint now)
{
    m_tokens = m_isSet ? tokensAt(now) : tokens;
    m_filledAt = now;
    m_share = share;
    m_isSet = true;
}

Duration ServerRateLimit::untilAllowed(TimePoint now) const
{
    const auto missing = m_isSet ? 1 - tokensAt(now) : 0;
    if (missing <= 0)
        return {};
    const auto micros = std::ceil(missing / m_share.perSecond * microsPerSecond);
    return micros >= static_cast<double>(maxWait.count()) ? maxWait : Duration(static_cast<Duration::rep>(micros));
}

void ServerRateLimit::take(TimePoint now)
{
    if (!m_isSet)
        return;
    m_tokens = tokensAt(now) - 1;
    m_filledAt = now;
}

}
