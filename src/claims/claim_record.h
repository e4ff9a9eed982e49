#pragma once

#include "base/ids.h"
#include "base/request_id.h"
#include "base/run_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

enum class ClaimRecordKind : std::uint8_t {
    Claim, ///< The token holds the key.
    Outcome, ///< How the token's request ended.
    Release, ///< The token no longer holds the key.
};

/// One line of a partition's log. Records are appended and never changed; the state of a key is what
/// its records give in order.
struct ClaimRecord {
    ClaimRecordKind kind = ClaimRecordKind::Claim;
    IdempotencyKey key;
    RequestId token;
    Fingerprint fingerprint; ///< Of a claim.
    std::int64_t storeSeconds = 0; ///< Of a claim: when it was made, by the store's clock.
    RunState state = RunState::Unknown; ///< Of an outcome.
    std::string answer; ///< Of an outcome.

    friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// The record as one line of printable ASCII, line break included.
std::string toLine(const ClaimRecord&);
/// The inverse, for a line without its break; empty when it is malformed.
std::optional<ClaimRecord> parseClaimRecord(std::string_view line);
/// All records of a log body; empty when a line is malformed or has no break.
std::optional<std::vector<ClaimRecord>> parseClaimRecords(std::string_view body);

/// What is recorded of a key.
struct KeyState {
    RequestId token;
    Fingerprint fingerprint;
    bool hasOutcome = false;
    RunState state = RunState::Unknown;
    std::string answer;

    friend bool operator==(const KeyState&, const KeyState&) = default;
};

/// The key's state after one more of its records. Outcomes and releases of a token that does not hold
/// the key change nothing, so a record may be repeated.
std::optional<KeyState> afterRecord(std::optional<KeyState>, const ClaimRecord&);

}
