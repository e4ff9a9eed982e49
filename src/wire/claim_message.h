#pragma once

#include "claims/claim_engine.h"

#include <optional>
#include <string>

namespace lycheefield {

/// Asks the owner of a key's partition to claim it, or to record how a granted request ended.
struct ClaimCall {
    ClaimRequest request; ///< On the wire its deadline is the time left.
    std::optional<RunState> settledAs; ///< Set: the request ended so; NotRun frees its key.
    std::string answer; ///< With settledAs: what a caller who asks again is told.

    friend bool operator==(const ClaimCall&, const ClaimCall&) = default;
};

/// The owner's answer to a ClaimCall.
struct ClaimReply {
    ClaimDecided decided;
    bool isSettled = false; ///< Answers a call with settledAs; of `decided` only the request counts.

    friend bool operator==(const ClaimReply&, const ClaimReply&) = default;
};

}
