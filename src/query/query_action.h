#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "query/answer.h"

#include <variant>
#include <vector>

namespace lycheefield {

/// Sends legs to one relay in one message. The relay may be this instance.
struct SendWork {
    InstanceName relay;
    WorkOrder work;
};

/// Cancels one attempt at the relay that it was sent to.
struct CancelAttempt {
    InstanceName relay;
    LegKey key;
};

/// Delivers the answer to the caller. Emitted exactly once for each request whose caller stays connected.
struct DeliverAnswer {
    Answer answer;
};

/// A decision taken for a request, as text for traces and `lycheefield explain`.
struct LogDecision {
    RequestId request;
    std::string text;
};

using QueryAction = std::variant<SendWork, CancelAttempt, DeliverAnswer, LogDecision>;
using QueryActions = std::vector<QueryAction>;

}
