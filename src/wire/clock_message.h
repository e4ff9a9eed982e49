#pragma once

#include "base/time.h"

namespace lycheefield {

/// Asks another instance for its clock. The frame of any message tells it; this one is sent when there is nothing else to send.
struct ClockCall {
    TimePoint sentAt {}; ///< On the caller's clock; returned with the answer.

    friend bool operator==(const ClockCall&, const ClockCall&) = default;
};

/// The answer to a ClockCall.
struct ClockReply {
    TimePoint sentAt {}; ///< Of the call, on the caller's clock.
    TimePoint now {}; ///< When the call was answered, on the clock of the instance that answers.

    friend bool operator==(const ClockReply&, const ClockReply&) = default;
};

}
