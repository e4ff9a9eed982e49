#pragma once

#include "claims/claim_engine.h"

#include <optional>
#include <string>

namespace lycheefield {

/// Requests that the owner of a key's partition claims the key, or records how a granted request ended.
struct ClaimCall {
    ClaimRequest request; ///< On the wire the deadline is the time left.
    std::optional<RunState> settledAs; ///< How the request ended, if it has; NotRun frees the key.
    std::string answer; ///< With settledAs: the answer for a caller that repeats the request.

    friend bool operator==(const ClaimCall&, const ClaimCall&) = default;
};

/// Response of the owner to a ClaimCall.
struct ClaimReply {
    ClaimDecided decided;
    bool isSettled = false; ///< Responds to a call with settledAs; in `decided` only the request is meaningful.

    friend bool operator==(const ClaimReply&, const ClaimReply&) = default;
};

}
