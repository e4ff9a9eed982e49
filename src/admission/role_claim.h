#pragma once

#include "admission/quota_role.h"
#include "base/ids.h"
#include "base/store_revision.h"

#include <cstdint>
#include <vector>

namespace lycheefield {

/// Claims roles that the sender has by a list of the instances. The receiver gives up those that it has, and takes on none of them by an earlier list.
struct RoleClaim {
    std::uint64_t sequence = 0; ///< Unique within the claiming process, and not used by an earlier one.
    StoreRevision revision; ///< Of the list.
    std::uint64_t membersHash = 0; ///< Of the instances in the list.
    std::vector<TeamRole> roles;

    friend bool operator==(const RoleClaim&, const RoleClaim&) = default;
};

enum class RoleVerdict : std::uint8_t {
    Free, ///< The answering instance doesn't have the role.
    Released, ///< It had the role and has given it up.
    Outdated, ///< The role was claimed by a later list, or the answering instance knows instances that the claim's list lacks.
};

/// The answer to the claim of one role.
struct RoleAnswer {
    TeamRole role;
    RoleVerdict verdict = RoleVerdict::Free;
    QuotaCredit credit; ///< Of a released role.
    std::vector<InstanceName> claimants {}; ///< Other instances that have claimed the role lately, and in an earlier epoch of the store than the claim's.

    friend bool operator==(const RoleAnswer&, const RoleAnswer&) = default;
};

/// The answer to a RoleClaim.
struct RoleClaimReply {
    std::uint64_t sequence = 0; ///< Of the claim.
    std::vector<RoleAnswer> answers;

    friend bool operator==(const RoleClaimReply&, const RoleClaimReply&) = default;
};

/// Tells that the sender's process is about to end, so that others take over its roles.
struct RoleResignation {
    ProcessLife life;
    bool hasEnded = false; ///< It ends now, without any role, and the store doesn't know it.

    friend bool operator==(const RoleResignation&, const RoleResignation&) = default;
};

}
