#pragma once

#include "base/stored_object.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheefield {

/// What one instance saw in the platform's store, for the others, so that few have to ask it.
///
/// It says: whoever has seen everything up to fromRevision has, with these changes, seen everything up
/// to revision, and that was all there was at the time provenAt.
struct StoreNews {
    std::string prefix; ///< Of the keys that it is about.
    std::uint64_t fromRevision = 0;
    std::uint64_t revision = 0;
    std::vector<StoredObject> changed;
    std::vector<std::string> removed; ///< Keys of objects that are gone.
    TimePoint provenAt {}; ///< Sent as an age.

    friend bool operator==(const StoreNews&, const StoreNews&) = default;
};

}
