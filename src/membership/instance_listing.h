#pragma once

#include "base/store_revision.h"
#include "base/time.h"
#include "membership/view.h"

#include <vector>

namespace lycheefield {

/// The instances of the fleet, as one list of the platform's store shows them.
///
/// Different instances hold different listings at the same time, and one may never see a listing that another one acts on.
struct InstanceListing {
    std::vector<Instance> instances; ///< Those that are alive.
    StoreRevision revision;
    bool isLatest = false; ///< Holds all that the store held when the list was asked for; otherwise it may be a copy from some seconds earlier.
    bool holdsSelf = false; ///< Holds the object that this process wrote about itself.
    bool isSettled = false; ///< No instance of a starting fleet is missing.
    TimePoint askedAt {}; ///< When the list was asked for, on the BootClock.
    TimePoint listedUntil {}; ///< Until then the others count this instance as alive, even if none of its next refreshes succeeds.

    friend bool operator==(const InstanceListing&, const InstanceListing&) = default;
};

}
