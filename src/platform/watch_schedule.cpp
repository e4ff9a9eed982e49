#include "platform/watch_schedule.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr int watchesWithinLimit = 4;
constexpr int silenceDivisor = 2;
/// Stagger between two ranks: time for one instance to call the store and announce the response to the others.
constexpr Duration stepBetweenRanks = std::chrono::milliseconds(60);
constexpr std::uint32_t maxSteps = 5;

}

WatchSchedule watchScheduleForRank(std::uint32_t rank, Duration limit)
{
    const auto wait = limit / watchesWithinLimit;
    const auto maxSilence = limit / silenceDivisor;
    const auto failing = maxSilence + stepBetweenRanks * maxSteps;
    if (rank == 0)
        return { Duration {}, wait, failing, Duration {} };
    const auto step = stepBetweenRanks * std::min(rank - 1, maxSteps);
    return { maxSilence + step, wait, failing, step };
}

}
