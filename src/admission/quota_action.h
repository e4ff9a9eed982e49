#pragma once

#include "admission/quota_message.h"
#include "base/ids.h"
#include "base/time.h"

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

/// The request is beyond its team's quota, as far as this instance can tell.
struct RefuseRequest {
    RequestNumber number;
    Duration retryAfter {}; ///< Time until the team may have a permit again.
};

using QuotaAction = std::variant<AskKeeper, AnswerCall, AdmitRequest, RefuseRequest>;
using QuotaActions = std::vector<QuotaAction>;

}
