#pragma once

#include "admission/quota_role.h"
#include "base/ids.h"
#include "base/store_revision.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheefield {

/// The latest claim of a role that this process knows of.
struct RoleFence {
    StoreRevision revision; ///< Of the list by which the role was claimed.
    InstanceName claimant;
    TimePoint recordedAt {};

    friend bool operator==(const RoleFence&, const RoleFence&) = default;
};

/// Remembers who has claimed each role lately, and fences off claims by earlier lists than the latest one. Performs no I/O. Not thread safe.
class RoleFences {
public:
    /// The latest claim of the role; null when none was recorded within the lifetime.
    const RoleFence* find(const TeamRole&, TimePoint) const;
    /// Whether no other instance has claimed the role by this list or a later one.
    bool admits(const TeamRole&, const StoreRevision&, const InstanceName& claimant, TimePoint) const;
    /// Precondition: the claim is admitted.
    void record(const TeamRole&, const RoleFence&);
    /// The last claims of the instances other than this one within the lifetime. Any of them may have gained the role.
    std::vector<RoleFence> claimsOf(const TeamRole&, const InstanceName& except, TimePoint) const;
    void forgetExpired(TimePoint);

    /// A fence is kept for longer than a list can be used: a role that rests on an older one has ended or was claimed again.
    static constexpr Duration lifetime = std::chrono::minutes(3);

private:
    struct Claimed {
        RoleFence latest;
        std::map<InstanceName, RoleFence> claimants; ///< With the last claim of each.
    };

    std::map<TeamRole, Claimed> m_claimed;
};

}
