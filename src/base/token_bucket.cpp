#include "base/token_bucket.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr double microsecondsPerSecond = 1e6;

}

TokenBucket::TokenBucket(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(burst)
    , m_tokens(burst)
{
}

bool TokenBucket::take(TimePoint now, double minTokens)
{
    const double elapsed = static_cast<double>((now - m_lastRefill).count()) / microsecondsPerSecond;
    m_tokens = std::min(m_burst, m_tokens + elapsed * m_perSecond);
    m_lastRefill = now;
    if (m_tokens < minTokens)
        return false;
    m_tokens -= 1;
    return true;
}

}
