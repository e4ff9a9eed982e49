#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/request_id.h"
#include "base/run_state.h"
#include "base/stored_object.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// Numbers the calls to the store, so that each reply finds the state that waits for it.
using StoreCallId = StrongId<struct StoreCallIdTag, std::uint64_t>;

struct ReadObject {
    StoreCallId call;
    std::string key;
};

/// Writes if the object's version is still `expected`; version 0: only if it does not exist.
struct WriteObject {
    StoreCallId call;
    std::string key;
    ObjectVersion expected;
    std::string value;
};

struct StoreResponse {
    StoreCallId call;
    StoreStatus status = StoreStatus::Lost;
    StoredObject object; ///< With ok: what was read, or the key and version written.
};

/// How a claim was settled.
enum class ClaimVerdict : std::uint8_t {
    Granted, ///< This attempt alone may dispatch the request.
    AlreadyDone, ///< The key ran before; its recorded outcome is with the decision.
    InProgress, ///< Another attempt holds the key and recorded no outcome: unknown.
    DifferentContent, ///< The key was used for other content.
    StoreUnavailable, ///< This attempt is not dispatched and never will be; what became of earlier ones is not known.
};

struct ClaimDecided {
    RequestId request;
    ClaimVerdict verdict = ClaimVerdict::StoreUnavailable;
    RunState recordedState = RunState::Unknown; ///< With alreadyDone.
    std::string recordedAnswer; ///< With alreadyDone.

    friend bool operator==(const ClaimDecided&, const ClaimDecided&) = default;
};

/// What is true of a request that was not granted, with all attempts that carried its key: a store that
/// did not answer can't say whether an earlier attempt ran. Precondition: not granted.
inline RunState runStateOf(const ClaimDecided& decided)
{
    switch (decided.verdict) {
    case ClaimVerdict::AlreadyDone:
        return decided.recordedState;
    case ClaimVerdict::DifferentContent:
        return RunState::NotRun;
    case ClaimVerdict::InProgress:
    case ClaimVerdict::StoreUnavailable:
    case ClaimVerdict::Granted:
        break;
    }
    return RunState::Unknown;
}

using ClaimAction = std::variant<ReadObject, WriteObject, ClaimDecided>;
using ClaimActions = std::vector<ClaimAction>;

}
