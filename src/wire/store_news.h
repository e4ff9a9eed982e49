#pragma once

#include "base/store_revision.h"
#include "base/stored_object.h"
#include "base/time.h"

#include <string>
#include <vector>

namespace lycheefield {

/// Changes that one instance read from the platform's store, announced so that few instances read it.
///
/// A receiver that has all changes up to `from` and applies these has all changes up to revision.
/// The store had no later change at the time currentAsOf. When from.number is 0 the news hold all objects.
struct StoreNews {
    std::string prefix; ///< Key prefix of the objects covered.
    StoreRevision from {};
    StoreRevision revision {};
    std::vector<StoredObject> changed;
    std::vector<std::string> removed; ///< Keys of removed objects.
    TimePoint currentAsOf {}; ///< On the clock of the process that holds the news, like confirmedAt; TimePoint {} when no time is known.
    TimePoint confirmedAt {}; ///< When the call was sent whose response showed that there was no later change; TimePoint {} when none did.
    bool isComparison = false; ///< Made by comparing two lists, so it holds only for a receiver that knows exactly the state at `from`.

    friend bool operator==(const StoreNews&, const StoreNews&) = default;
};

}
