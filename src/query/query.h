#pragma once

#include "query/leg_state.h"
#include "query/query_engine.h"
#include "query/query_tables.h"
#include "query/rule_budget.h"
#include "rules/rule.h"

#include <cstddef>
#include <vector>

namespace lycheefield {

/// One request in flight at the entry.
struct Query {
    CallerRequest request;
    QueryTables tables; ///< Pinned: read once at the start, and once more when it starts again.
    const Rule* rule = nullptr; ///< Points into tables.rules.
    const Service* service = nullptr; ///< Points into tables.shards.
    TimePoint deadline = never;
    TimePoint softDeadline = never;
    TimePoint due = never; ///< When the engine looks at it again.
    IndexVersion version;
    Fingerprint fingerprint;
    std::vector<LegState> legs;
    std::size_t openLegs = 0;
    std::size_t covered = 0;
    RuleBudget* budget = nullptr;
    TimePoint hedgeCheckAt {}; ///< When late legs are looked for next; the past: at the next event.
    bool waitedForFew = false; ///< At the last look for late legs.
    bool mayHedge = true; ///< False for what must not run twice, and once its content is suspect.
    std::uint32_t attemptBase = 0; ///< Number of the first attempt since the last start.
    bool ran = false; ///< An answer proved that some part ran.
    bool mayHaveRun = false; ///< An attempt ended without proof that it did not run.

    double coverage() const { return legs.empty() ? 0 : static_cast<double>(covered) / static_cast<double>(legs.size()); }
    bool coversEnough() const { return covered > 0 && coverage() >= rule->minimumCoverage.value; }
};

}
