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
    Claim, ///< The token holds the key from here on.
    Outcome, ///< How the token's request ended.
    Release, ///< The token no longer holds the key.
};

/// One line of a partition's log. Records are only appended, never changed; applying a key's records in order
/// gives the key's state.
struct ClaimRecord {
    ClaimRecordKind kind = ClaimRecordKind::Claim;
    IdempotencyKey key;
    RequestId token;
    Fingerprint fingerprint; ///< For a claim.
    std::int64_t storeSeconds = 0; ///< For a claim: upper bound of the store's time when the claim was made; 0 when that time was unknown.
    RunState state = RunState::Unknown; ///< For an outcome.
    std::string answer; ///< For an outcome.

    friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// Returns the record as one line of printable ASCII, line break included.
std::string toLine(const ClaimRecord&);
/// Parses a line without its line break; nullopt when the line is malformed.
std::optional<ClaimRecord> parseClaimRecord(std::string_view line);
/// Parses all records of a log body; nullopt when a line is malformed or has no line break.
std::optional<std::vector<ClaimRecord>> parseClaimRecords(std::string_view body);

/// The recorded state of a key.
struct KeyState {
    RequestId token;
    Fingerprint fingerprint;
    bool hasOutcome = false;
    RunState state = RunState::Unknown;
    std::string answer;

    friend bool operator==(const KeyState&, const KeyState&) = default;
};

/// Returns the key's state after one more of its records. Outcomes and releases of a token that does not hold
/// the key have no effect, so records may be repeated.
std::optional<KeyState> afterRecord(std::optional<KeyState>, const ClaimRecord&);

}
