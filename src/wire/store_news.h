#pragma once

#include "base/stored_object.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheefield {

/// Changes that one instance read from the platform's store, announced so that few instances read it.
///
/// A receiver that has all changes up to fromRevision and applies these has all changes up to revision.
/// The store had no later change at the time currentAsOf. From revision 0 the news hold all objects.
struct StoreNews {
    std::string prefix; ///< Key prefix of the objects covered.
    std::uint64_t fromRevision = 0;
    std::uint64_t revision = 0;
    std::vector<StoredObject> changed;
    std::vector<std::string> removed; ///< Keys of removed objects.
    TimePoint currentAsOf {}; ///< On the clock of the process that holds the news, like confirmedAt; the epoch when no time is known.
    TimePoint confirmedAt {}; ///< When the call was sent whose response showed that there was no later change; the epoch when none did.
    std::uint64_t fromEpoch = 0; ///< Of the store when it gave fromRevision.
    std::uint64_t epoch = 0; ///< Of the store when it gave revision.

    friend bool operator==(const StoreNews&, const StoreNews&) = default;
};

}
