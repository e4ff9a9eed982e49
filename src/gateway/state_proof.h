#pragma once

#include "base/store_revision.h"
#include "base/time.h"

namespace lycheefield {

/// What an instance knows of one kind of objects after a response of the store or an announcement.
struct StateProof {
    TimePoint provenAt {}; ///< Latest time for which all changes are known to have been seen, on the BootClock; `TimePoint {}` when there is none.
    StoreRevision revision; ///< Up to which all changes are known.

    friend bool operator==(const StateProof&, const StateProof&) = default;
};

}
