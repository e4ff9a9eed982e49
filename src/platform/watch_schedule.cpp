#include "platform/watch_schedule.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr int watchesWithinLimit = 4;
/// A proof counts from the sending of its watch, so it is two waits old when the next one arrives: a third of the limit.
constexpr int watchesWithinProofLimit = 6;
constexpr int silenceDivisor = 2;
/// Stagger between two ranks as a part of the limit: time for one instance to call a slow store and announce the
/// response to the others.
constexpr int stepsWithinLimit = 40;
/// From this step on the ranks call together, so that a quarter of the limit is left to apply a change.
constexpr std::uint32_t maxSteps = 8;
/// Ranks that retry as quickly as their back-off allows.
constexpr std::uint32_t quickRetryRanks = 2;
constexpr int slowRetriesWithinLimit = 2;
/// Leaves a quarter of the limit for the call and its response.
constexpr double unprovenShareOfLimit = 0.75;
/// Proofs are as old as this when the first instance has ended and the next ones have called the store.
constexpr double unconfirmedShareOfLimit = 0.78;
constexpr int unconfirmedStaggerDivisor = 2;

}

WatchSchedule watchScheduleForRank(std::uint32_t rank, Duration applyLimit, Duration proofLimit)
{
    const bool needsProof = proofLimit > Duration {};
    const auto limit = needsProof ? std::min(applyLimit, proofLimit) : applyLimit;
    const auto wait = limit / (needsProof ? watchesWithinProofLimit : watchesWithinLimit);
    const auto maxSilence = limit / silenceDivisor;
    const auto failing = maxSilence + limit * maxSteps / stepsWithinLimit;
    if (rank == 0)
        return { Duration {}, wait, failing, Duration {}, Duration {}, Duration {}, Duration {} };
    const auto stagger = limit * std::min(rank - 1, maxSteps) / stepsWithinLimit;
    const auto retryPause = rank <= quickRetryRanks ? Duration {} : limit / slowRetriesWithinLimit;
    const auto maxUnconfirmed = needsProof ? scaled(limit, unconfirmedShareOfLimit) + stagger / unconfirmedStaggerDivisor : Duration {};
    return { maxSilence + stagger, wait, failing, stagger, retryPause, scaled(limit, unprovenShareOfLimit), maxUnconfirmed };
}

}
