#include "dispatch/ejection.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::uint32_t failuresToEject = 5;
/// Consecutive successes that reset the length of the next ejection.
constexpr std::uint32_t successesToForget = 100;
constexpr std::uint32_t maxDoublings = 5;

}

bool Ejection::onFailure(Fingerprint fingerprint)
{
    m_consecutiveSuccesses = 0;
    if (m_consecutiveFailures == 0)
        m_firstFailed = fingerprint;
    else if (fingerprint != m_firstFailed)
        m_severalContentsFailed = true;
    ++m_consecutiveFailures;
    if (m_state == State::Probing)
        return true;
    return m_state == State::InUse && m_severalContentsFailed && m_consecutiveFailures >= failuresToEject;
}

bool Ejection::onSuccess()
{
    m_consecutiveFailures = 0;
    m_severalContentsFailed = false;
    if (++m_consecutiveSuccesses >= successesToForget)
        m_consecutiveEjections = 0;
    if (m_state != State::Probing)
        return false;
    m_state = State::InUse;
    return true;
}

void Ejection::eject(TimePoint now, Duration ejectionTime)
{
    m_state = State::Ejected;
    m_until = now + ejectionTime * (1U << std::min(m_consecutiveEjections, maxDoublings));
    ++m_consecutiveEjections;
    m_consecutiveFailures = 0;
    m_severalContentsFailed = false;
}

bool Ejection::onTimer(TimePoint now)
{
    if (m_state != State::Ejected || now < m_until)
        return false;
    m_state = State::Probing;
    return true;
}

}
