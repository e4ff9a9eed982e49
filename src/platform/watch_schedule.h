#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// When an instance calls the store itself, and when it relies on the announcements of other instances.
struct WatchSchedule {
    Duration maxSilence {}; ///< Silence after which the store is called; zero: the store is watched all the time.
    Duration wait = Duration::max(); ///< Longest wait of one watch.
    Duration maxSilenceAfterFailure {}; ///< Replaces a shorter limit on the silence after a failed call, since the instance next in rank may reach the store.

    Duration gapPause {}; ///< Delay before the store is called for changes missing between two announcements.
    Duration retryPause {}; ///< Shortest pause after a failed call.
    Duration maxUnproven {}; ///< Oldest state of another instance that is taken at a start. Replaces a shorter limit on the silence while others announce changes without a proof that these are all.
    Duration maxUnconfirmed {}; ///< Oldest proof, counted from the sending of its call, after which the store is called, whatever others announce; zero: any.

    friend bool operator==(const WatchSchedule&, const WatchSchedule&) = default;
};

/// Returns the schedule of the instance with that rank, such that every instance learns of a change within the
/// limit.
///
/// The instance of rank 0 watches the store and announces the results to the others at least four times within
/// the limit. After a silence of half the limit the others call the store, staggered by rank, and announce the
/// response; so the loss of the first instances costs one pause and not a call by every instance. During an outage
/// of the store the first ranks retry quickly and announce its return; the others, whose calls would fail as well,
/// retry slowly.
///
/// With a proofLimit every instance holds a proof younger than it, counted from the sending of the call that gave the proof, while the
/// store responds: also when the first instance ends, and after a pause of the process, during which announcements have piled up. In calm running a proof is at most a third of the limit old, so that an outage of the store
/// of more than half the limit leaves every proof valid. This costs calls of the first instance only.
WatchSchedule watchScheduleForRank(std::uint32_t rank, Duration limit, Duration proofLimit = {});

}
