#include "base/clock.h"

namespace lycheefield {

TimePoint SteadyClock::now() const
{
    const auto sinceOrigin = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceOrigin));
}

}
