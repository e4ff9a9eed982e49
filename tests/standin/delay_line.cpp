#include "standin/delay_line.h"

#include <algorithm>

namespace lycheefield::standin {

void DelayLine::push(std::string bytes, const LinkBehaviour& behaviour, TimePoint now)
{
    auto due = now + behaviour.delay;
    if (m_random.unit() < behaviour.retransmitProbability)
        due += behaviour.retransmitTime;
    m_lastDue = std::max(m_lastDue, due);
    m_pieces.push_back({ m_lastDue, std::move(bytes) });
}

std::string DelayLine::take(const LinkBehaviour& behaviour, TimePoint now)
{
    std::string bytes;
    if (behaviour.isCut)
        return bytes;
    while (!m_pieces.empty() && m_pieces.front().due <= now) {
        bytes += m_pieces.front().bytes;
        m_pieces.pop_front();
    }
    return bytes;
}

TimePoint DelayLine::nextArrival() const
{
    return m_pieces.empty() ? never : m_pieces.front().due;
}

}
