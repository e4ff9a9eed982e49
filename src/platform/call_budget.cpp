#include "platform/call_budget.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr double microsecondsPerSecond = 1e6;

}

CallBudget::CallBudget(double callsPerSecond, double burst)
    : m_callsPerSecond(callsPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{
}

bool CallBudget::take(TimePoint now)
{
    const double elapsed = static_cast<double>((now - m_refilled).count()) / microsecondsPerSecond;
    m_tokens = std::min(m_burst, m_tokens + elapsed * m_callsPerSecond);
    m_refilled = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

}
