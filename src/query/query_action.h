#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "query/answer.h"

#include <variant>
#include <vector>

namespace lycheefield {

/// Send these legs to one relay, in one message. The relay may be this very instance.
struct SendWork {
    InstanceName relay;
    WorkOrder work;
};

/// Cancel one attempt at the relay that has it.
struct SendCancel {
    InstanceName relay;
    LegKey key;
};

/// Give the caller this answer. Comes exactly once for each request.
struct DeliverAnswer {
    Answer answer;
};

/// One decision taken for a request, in words, for traces and `lycheefield explain`.
struct LogDecision {
    RequestId request;
    std::string text;
};

using QueryAction = std::variant<SendWork, SendCancel, DeliverAnswer, LogDecision>;
using QueryActions = std::vector<QueryAction>;

}
