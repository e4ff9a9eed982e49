#pragma once

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheefield {

/// Outcome of one request of the load, as seen by its caller.
enum class LoadOutcome : std::uint8_t {
    Complete,
    Partial,
    Refused, ///< A typed error that says "not run".
    Unknown, ///< A typed error that says "unknown", or "ran" without a result.
    Cut, ///< The connection failed or no answer arrived in time.
    NotSent, ///< The load tool had reached its connection limit, or had no descriptor, port or memory to connect.
    Wrong, ///< The answer is invalid: results of another request, mixed snapshots, or false coverage.
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
    std::string why; ///< The reason, for Wrong, Cut, Refused, Unknown and NotSent.
    std::string body; ///< For orders: the nonce that identifies the order at the backend servers.

    friend bool operator==(const Observation&, const Observation&) = default;
};

}
