#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// Whether an instance follows the store itself or relies on what others tell it.
struct WatchTurn {
    Duration patience {}; ///< The store is asked once nothing was heard for so long; zero: it is watched without a pause.
    Duration wait = Duration::max(); ///< Of one watch.
    Duration failingPatience {}; ///< The same as patience after a call has failed: the next in rank may reach the store.

    Duration gapPause {}; ///< Before the store is asked for what was missed between two pieces of news.

    friend bool operator==(const WatchTurn&, const WatchTurn&) = default;
};

/// The turn of the instance with that rank, so that all know of a change within the limit.
///
/// The first one watches, and tells the others what it saw at least four times within the limit. The
/// others ask the store when they have heard nothing for half of it, one after the other, and tell the
/// rest; so the loss of those in front costs one pause and not a call of every instance.
WatchTurn watchTurn(std::uint32_t rank, Duration limit);

}
