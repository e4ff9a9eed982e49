#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "base/priority.h"
#include "base/time.h"
#include "base/units.h"

#include <cstdint>
#include <string>

namespace lycheefield {

/// Preference of a query that cannot have both an early answer and full coverage.
enum class AnswerPreference : std::uint8_t {
    Tail, ///< Answer at softDeadline with the results received so far, if minCoverage is met.
    Coverage, ///< Wait until the deadline for every shard.
};

/// One line of the operators' rule file.
struct Rule {
    std::string name;
    std::string pathPrefix; ///< Matches requests whose path starts with this prefix; the longest match wins.
    ServiceName service;
    RequestKind kind = RequestKind::Search;
    Priority priority = Priority::Desk;
    Duration deadline {}; ///< From the arrival of the request at the entry.
    Duration softDeadline {}; ///< With AnswerPreference::Tail: when a partial answer may be sent.
    Share minCoverage { 1 }; ///< Share of the service's shards that an answer must cover; below this share the request fails.
    AnswerPreference preference = AnswerPreference::Coverage;
    Share hedgeBudget { 0.05 }; ///< Hedges per first attempt of a leg.
    Share retryBudget { 0.10 }; ///< Retries per first attempt of a leg.
    std::string comment; ///< Who asked for the rule, and why. Never empty.
    std::uint32_t line = 0; ///< Line of the rule in the rule file.

    friend bool operator==(const Rule&, const Rule&) = default;
};

}
