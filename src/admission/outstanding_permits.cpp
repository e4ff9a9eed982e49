#include "admission/outstanding_permits.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

void OutstandingPermits::add(std::uint32_t permits, Duration lifetime, TimePoint now)
{
    expire(now);
    const auto slot = (now + lifetime).time_since_epoch() / slotTime + 1;
    m_bySlot[static_cast<std::size_t>(slot % slots)] += permits;
    m_count += permits;
}

std::uint32_t OutstandingPermits::count(TimePoint now)
{
    expire(now);
    return m_count;
}

void OutstandingPermits::expire(TimePoint now)
{
    const std::int64_t current = now.time_since_epoch() / slotTime;
    const auto passed = std::min(current - m_slot, slots);
    for (std::int64_t i = 0; i < passed; ++i)
        m_count -= std::exchange(m_bySlot[static_cast<std::size_t>((current - i) % slots)], 0);
    m_slot = std::max(m_slot, current);
}

}
