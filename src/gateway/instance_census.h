#pragma once

#include "base/ids.h"
#include "base/stored_object.h"
#include "base/time.h"
#include "membership/view.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheefield {

/// One instance's object in the store, as a list had it.
struct InstanceSighting {
    Instance instance;
    ObjectVersion version; ///< Changes with each refresh by its instance.

    friend bool operator==(const InstanceSighting&, const InstanceSighting&) = default;
};

/// Counts the instances that refresh their objects in the store.
///
/// The count divides what the fleet shares: the servers' connections and the slack of the retry
/// budget. An instance that stopped counts for as long as its object may be unrefreshed, which
/// leaves the others less than their part and never more. It does no I/O. Not thread safe.
class InstanceCensus {
public:
    /// How often each instance must refresh its object.
    static constexpr Duration refreshPeriod = std::chrono::seconds(30);

    /// A list of all instances' objects.
    void onList(const std::vector<InstanceSighting>&, TimePoint);
    /// Instances that live as far as is known.
    std::vector<Instance> alive() const;

private:
    /// An object that did not change for so many refresh periods belongs to no instance any more.
    static constexpr int lapsedAfterPeriods = 3;

    struct Seen {
        ObjectVersion version;
        TimePoint changedAt {};
        bool isAlive = true;
        Instance instance;
    };

    std::map<InstanceName, Seen> m_seen;
};

}
