#include "loop_lateness.h"

#include "soak_limits.h"

#include <algorithm>

namespace lycheefield::soak {

bool LoopLateness::onTimer(TimePoint dueAt, TimePoint now)
{
    const auto lateness = now - dueAt;
    m_greatest = std::max(m_greatest, lateness);
    if (lateness <= noticedLateness)
        return false;
    ++m_count;
    return true;
}

}
