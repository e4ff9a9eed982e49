#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "base/priority.h"
#include "base/time.h"
#include "base/units.h"

#include <cstdint>
#include <string>

namespace lycheefield {

/// What a query does when the rule's coverage and its wait pull in different directions.
enum class AnswerPreference : std::uint8_t {
    Tail, ///< Answer at softDeadline with what is there, if minimumCoverage is met.
    Coverage, ///< Wait until the deadline for every shard.
};

/// One line of the operators' rule file.
struct Rule {
    std::string name;
    std::string pathPrefix; ///< Matches requests whose path starts with it; the longest match wins.
    ServiceName service;
    RequestKind kind = RequestKind::Search;
    Priority priority = Priority::Desk;
    Duration deadline {}; ///< From the arrival of the request at the entry.
    Duration softDeadline {}; ///< With AnswerPreference::Tail: when a partial answer is given.
    Share minimumCoverage { 1 }; ///< Share of the service's shards; below it the answer is a refusal.
    AnswerPreference preference = AnswerPreference::Coverage;
    Share hedgeBudget { 0.05 }; ///< Hedges for each first leg.
    Share retryBudget { 0.10 }; ///< Retries for each first leg.
    std::string comment; ///< Who asked for the rule, and why. Never empty.
    std::uint32_t line = 0; ///< Line in the file it came from.

    friend bool operator==(const Rule&, const Rule&) = default;
};

}
