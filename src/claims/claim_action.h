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

/// Identifies a call to the store, so that the response can be matched to the call.
using StoreCallId = StrongId<struct StoreCallIdTag, std::uint64_t>;

/// Asks the caller of the engine to read an object and to pass the response to ClaimEngine::onStoreResponse.
struct ReadObject {
    StoreCallId call;
    std::string key;
};

/// Asks for a conditional write: the store accepts the value only if the object's version is still `expected`.
/// Version 0 means that the object must not exist yet.
struct WriteObject {
    StoreCallId call;
    std::string key;
    ObjectVersion expected;
    std::string value;
};

/// How one call to the store ended.
struct StoreResponse {
    StoreCallId call;
    StoreStatus status = StoreStatus::Lost;
    StoredObject object; ///< With StoreStatus::Ok: the object read, or the key and version written.
};

/// The result of a claim.
enum class ClaimVerdict : std::uint8_t {
    Granted, ///< The claiming request holds the key: no other request may run under it.
    AlreadyDone, ///< An earlier request ran under the key; the decision carries its recorded outcome.
    InProgress, ///< Another request holds the key and has recorded no outcome, so whether it ran is unknown.
    DifferentContent, ///< The key is in use for other content.
    StoreUnavailable, ///< The request is not dispatched, now or later; whether earlier requests under the key ran is unknown.
};

/// The decision about one claim.
struct ClaimDecided {
    RequestId request;
    ClaimVerdict verdict = ClaimVerdict::StoreUnavailable;
    RunState recordedState = RunState::Unknown; ///< With ClaimVerdict::AlreadyDone.
    std::string recordedAnswer; ///< With ClaimVerdict::AlreadyDone; empty when the answer was longer than ClaimSettings::maxAnswer.

    friend bool operator==(const ClaimDecided&, const ClaimDecided&) = default;
};

/// Returns whether the content of a request that was not granted has run, counting all requests under the same
/// key. While the store is unavailable the state is unknown, because an earlier request may have run.
/// Precondition: the verdict is not ClaimVerdict::Granted.
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
