#pragma once

#include "admission/quota_message.h"
#include "admission/role_claims.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace lycheefield {

/// Send the call to the instance. The engine's onReply() or onUndelivered() may follow; neither has to.
struct AskKeeper {
    InstanceName instance;
    QuotaCall call;
};

/// Send the reply to the instance that called.
struct AnswerCall {
    InstanceName instance;
    QuotaReply reply;
};

/// The request is within its team's quota.
struct AdmitRequest {
    RequestNumber number;
};

/// Why a request isn't admitted.
enum class QuotaRefusal : std::uint8_t {
    OverQuota, ///< The request is beyond its team's quota, as far as this instance can tell.
    PartGranted, ///< Only the standby's part of the team's quota is granted at present, and it is used up.
    NotGranted, ///< No instance that this one reaches grants the team's quota at present.
};

/// The request isn't admitted.
struct RefuseRequest {
    RequestNumber number;
    Duration retryAfter {}; ///< Time until the team may have a permit again.
    QuotaRefusal why = QuotaRefusal::OverQuota;
};

/// Send the claim to the instance. An answer may follow; it doesn't have to.
struct SendClaim {
    OutgoingClaim claim;
};

/// Send the reply to the instance that claimed.
struct AnswerClaim {
    InstanceName instance;
    RoleClaimReply reply;
};

/// Tell the instance that this process is about to end.
struct AnnounceResignation {
    InstanceName instance;
};

/// Read the store's latest list of the instances, as soon as possible.
struct ListInstances {
};

/// Write this instance's object with QuotaEngine::declaration() unless that is what it says, and then read the latest list if a role has been added.
struct DeclareRoles {
};

/// This instance has gained or lost the role; for logs.
struct ReportRole {
    TeamRole role;
    bool isGained = false;
    QuotaCredit credit; ///< That came or left with it.
};

/// A role that this instance is to have has been waited for unusually long; for logs.
struct ReportRoleWait {
    RoleWait wait;
};

using QuotaAction = std::variant<AskKeeper, AnswerCall, AdmitRequest, RefuseRequest, SendClaim, AnswerClaim, AnnounceResignation, ListInstances, DeclareRoles, ReportRole, ReportRoleWait>;
using QuotaActions = std::vector<QuotaAction>;

}
