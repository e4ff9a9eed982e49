#pragma once

#include "query/leg_state.h"
#include "query/query_engine.h"
#include "query/query_tables.h"
#include "query/rule_budget.h"
#include "rules/rule.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lycheefield {

/// One request in flight at the entry.
struct Query {
    CallerRequest request;
    QueryTables tables; ///< Pinned until it starts again, but for the ownership: that decides no answer, only its way.
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
    double hedgeDelayMultiple = 0; ///< At the last look for late legs.
    bool mayHedge = true; ///< False for what must not run twice, and once its content is suspect.
    bool isSuspect = false; ///< Its content may crash servers: no hedge, no retry.
    std::optional<std::size_t> canary; ///< The leg sent ahead; the others are held until it is answered.
    std::optional<InstanceName> canaryRelay; ///< Only this relay probes suspect content.
    std::uint32_t canaryAttempts = 0;
    TimePoint releaseAt = never; ///< When the held legs go out.
    TimePoint giveUpAt = never; ///< It can't cover enough any more: when it ends without proof that nothing ran.
    TimePoint startedAt {};
    TimePoint rerouteAt = never; ///< When legs that no relay took are sent again.
    TimePoint replanAt = never; ///< It waits for newer tables until then, and looks again.
    std::vector<IndexVersion> unavailableVersions;
    std::optional<PartitionEpoch> supersededEpoch;
    std::uint32_t attemptBase = 0; ///< Number of the first attempt since the last start.
    std::uint32_t starts = 0;
    Duration retryAfter {}; ///< The longest that a server asked for.
    bool ran = false; ///< An answer proved that some part ran.
    bool mayHaveRun = false; ///< An attempt ended without proof that it did not run.

    double coverage() const { return legs.empty() ? 0 : static_cast<double>(covered) / static_cast<double>(legs.size()); }
    /// False once too many legs have ended without an answer, whatever the others bring.
    /// True once sending it again could make it run twice.
    bool mustNotRunAgain() const { return rule->kind == RequestKind::Order && (ran || mayHaveRun); }
    bool canCoverEnough() const
    {
        return legs.empty() || static_cast<double>(covered + openLegs) / static_cast<double>(legs.size()) >= rule->minimumCoverage.value;
    }
    /// Legs that may still end without an answer.
    std::size_t spareLegs() const
    {
        constexpr double rounding = 1e-9;
        const auto allowedMissing = static_cast<std::size_t>(static_cast<double>(legs.size()) * (1 - rule->minimumCoverage.value) + rounding);
        const auto alreadyMissing = legs.size() - covered - openLegs;
        return allowedMissing > alreadyMissing ? allowedMissing - alreadyMissing : 0;
    }
    bool coversEnough() const { return covered > 0 && coverage() >= rule->minimumCoverage.value; }
};

}
