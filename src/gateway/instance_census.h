#pragma once

#include "admission/instance_listing.h"
#include "base/ids.h"
#include "base/stored_object.h"
#include "base/time.h"
#include "membership/view.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// One instance's object in the store, as a list returned it.
struct InstanceSighting {
    Instance instance;
    ObjectVersion version; ///< Rises with each refresh of the object, but is given out again after the store came back from an older copy.
    std::uint64_t refreshes = 0; ///< By the process that wrote the object; 0 when the object doesn't tell it.
    std::optional<RoleDeclaration> declared {}; ///< Empty for an object of an earlier release.

    friend bool operator==(const InstanceSighting&, const InstanceSighting&) = default;
};

/// Counts the instances that refresh their objects in the store.
///
/// The servers' connections and the slack of the retry budget are divided by this count. A stopped
/// instance is counted until its object is stale; meanwhile the other instances get less than their
/// share, never more. Does no I/O. Not thread safe.
class InstanceCensus {
public:
    /// Each instance must refresh its object once in this period.
    static constexpr Duration refreshPeriod = std::chrono::seconds(60);

    /// An instance that has not refreshed its object for so long is no longer counted.
    static constexpr Duration staleAfter = 3 * refreshPeriod;

    /// The object of an instance that hasn't refreshed it for so long may be removed: its roles ended long before, even if its clock runs slowly.
    static constexpr Duration removableAfter = staleAfter + refreshPeriod;

    /// Processes a list of all instances' objects.
    void onList(const std::vector<InstanceSighting>&, TimePoint);
    /// Records that the store came back from an older copy: until then an instance is counted whose object is missing, as each writes again what was
    /// lost.
    void recordNewEpoch(TimePoint keptUntil) { m_keptUntil = std::max(m_keptUntil, keptUntil); }
    /// The instances whose objects are not stale and don't say that they have ended.
    std::vector<Instance> alive() const;
    /// The instances whose objects may be removed, with the versions at which they may be. None soon after the store came back from an older copy.
    std::map<InstanceName, ObjectVersion> removable(TimePoint) const;
    /// Adds to the listing the instances whose objects are not stale, and what is known of each.
    void describe(InstanceListing&) const;

private:
    struct KnownInstance {
        ObjectVersion version;
        std::uint64_t refreshes = 0; ///< The most that any object of this process told.
        TimePoint changedAt {};
        bool isAlive = true;
        bool isVerified = false; ///< This process has seen its object appear or be refreshed.
        Instance instance;
        std::optional<RoleDeclaration> declared;
    };

    static bool hasEnded(const KnownInstance&);
    /// An object of an older copy of the store has another version too, so a change of it shows no life by itself.
    static bool isRefreshed(const KnownInstance&, const InstanceSighting&);
    KnownInstance update(const KnownInstance&, const InstanceSighting&, TimePoint) const;
    /// What the process declares, as far as this sighting and the earlier ones tell.
    std::optional<RoleDeclaration> declaredBy(const KnownInstance&, const InstanceSighting&, TimePoint) const;

    TimePoint m_keptUntil {};
    bool m_hasList = false;
    std::map<InstanceName, KnownInstance> m_known;
};

}
