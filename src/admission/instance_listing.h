#pragma once

#include "admission/quota_role.h"
#include "base/store_revision.h"
#include "base/time.h"
#include "membership/view.h"

#include <map>
#include <set>
#include <vector>

namespace lycheefield {

/// What an instance's object in the store says about the roles of its process.
struct RoleDeclaration {
    std::set<TeamRole> roles; ///< All that the process has or may gain, and perhaps more.
    bool isLeaving = false; ///< The process is about to end and gains no role any more.
    bool hasEnded = false; ///< The process has ended, or ends without using anything that others count.

    friend bool operator==(const RoleDeclaration&, const RoleDeclaration&) = default;
};

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
    std::map<InstanceName, RoleDeclaration> declared {}; ///< By instance, also this one; an object of an earlier release declares nothing.
    std::map<InstanceName, TimePoint> refreshedAt {}; ///< When this process first saw the latest refresh of each object.
    std::vector<Instance> ended {}; ///< Not among the instances: their processes have ended lately, and may start again. Shares of limits still count them.
    std::set<InstanceName> unverified {}; ///< Those of which this process has seen no refresh: their objects may be left from long ago.

    friend bool operator==(const InstanceListing&, const InstanceListing&) = default;
};

}
