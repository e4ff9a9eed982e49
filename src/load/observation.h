#pragma once

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheefield {

/// How one request of the load ended, as its caller saw it.
enum class LoadOutcome : std::uint8_t {
    Complete,
    Partial,
    Refused, ///< A typed error that says "not run".
    Unknown, ///< A typed error that says "unknown", or "ran" without a result.
    Cut, ///< The connection broke or no answer came.
    NotSent, ///< The load tool had no connection left.
    Wrong, ///< The answer is not what was asked for: foreign, mixed versions, or untrue coverage.
};

std::string_view nameOf(LoadOutcome);

struct Observation {
    std::uint32_t side = 0;
    std::uint32_t requestClass = 0;
    std::uint32_t target = 0;
    Duration intended {}; ///< Since the start of the run.
    Duration latency {}; ///< From the intended send time to the last byte of the answer.
    LoadOutcome outcome = LoadOutcome::NotSent;
    unsigned status = 0;
    std::string why; ///< For Wrong, Cut, Refused: what was seen.
    std::string body; ///< For orders: what identifies it at the backend servers.

    friend bool operator==(const Observation&, const Observation&) = default;
};

}
