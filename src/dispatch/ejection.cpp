#include "dispatch/ejection.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::uint32_t failuresToEject = 5;
constexpr std::uint32_t successesToForget = 100;
constexpr std::uint32_t maxDoublings = 5;

}

bool Ejection::onFailure(Fingerprint fingerprint)
{
    m_successesInARow = 0;
    if (m_failuresInARow == 0)
        m_firstFailed = fingerprint;
    else if (fingerprint != m_firstFailed)
        m_severalContents = true;
    ++m_failuresInARow;
    if (m_state == State::Probing)
        return true;
    return m_state == State::InUse && m_severalContents && m_failuresInARow >= failuresToEject;
}

bool Ejection::onSuccess()
{
    m_failuresInARow = 0;
    m_severalContents = false;
    if (++m_successesInARow >= successesToForget)
        m_ejectionsInARow = 0;
    if (m_state != State::Probing)
        return false;
    m_state = State::InUse;
    return true;
}

void Ejection::eject(TimePoint now, Duration ejectionTime)
{
    m_state = State::Ejected;
    m_until = now + ejectionTime * (1U << std::min(m_ejectionsInARow, maxDoublings));
    ++m_ejectionsInARow;
    m_failuresInARow = 0;
    m_severalContents = false;
}

bool Ejection::onTime(TimePoint now)
{
    if (m_state != State::Ejected || now < m_until)
        return false;
    m_state = State::Probing;
    return true;
}

}
