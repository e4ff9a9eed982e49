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
    QueryTables tables; ///< The rules never change, and the shards only when the query is planned again. The ownership may be refreshed at any time, since it changes routes but no results.
    const Rule* rule = nullptr; ///< Points into tables.rules; null when no rule matches. mustNotRunAgain() and spareLegs() need a rule.
    const Service* service = nullptr; ///< Points into tables.shards.
    TimePoint deadline = never;
    TimePoint softDeadline = never;
    TimePoint due = never; ///< When the engine's timer handles the query next.
    IndexVersion version;
    Fingerprint fingerprint;
    std::vector<LegState> legs;
    std::size_t openLegs = 0; ///< Legs that are neither answered nor given up.
    std::size_t covered = 0; ///< Legs that are answered.
    RuleBudget* budget = nullptr;
    TimePoint hedgeCheckAt {}; ///< When to check for late legs next; a time in the past means at the next event.
    double hedgeDelayMultiple = 0; ///< Result of HedgePlanner::hedgeDelayMultiple() at the last check for late legs.
    bool mayHedge = true; ///< False for requests that must not run twice, for suspect content, and under overload.
    bool isSuspect = false; ///< The content may crash servers: the query is neither hedged nor retried.
    std::optional<std::size_t> canary; ///< The leg sent first; the other legs are held until the canary is answered.
    std::optional<InstanceName> canaryRelay; ///< The only relay that may probe the suspect content.
    std::uint32_t canaryAttempts = 0;
    TimePoint releaseAt = never; ///< When the held legs are sent.
    TimePoint giveUpAt = never; ///< When the query ends even without proof that nothing ran; set once the minimum coverage is out of reach.
    TimePoint startedAt {};
    TimePoint rerouteAt = never; ///< When legs whose servers no relay held are sent again.
    TimePoint replanAt = never; ///< When a query that waits for newer tables is planned again.
    std::vector<IndexVersion> unavailableVersions; ///< Versions that every replica of some shard failed to serve; a new plan avoids them.
    std::optional<PartitionEpoch> supersededEpoch; ///< Set after shards moved: a new plan needs a later partition epoch.
    std::uint32_t attemptBase = 0; ///< Number of the first attempt since the last (re)start.
    std::uint32_t starts = 0;
    Duration retryAfter {}; ///< How long the caller should wait before it sends the request again, as asked for by servers or estimated by the engine.
    bool ran = false; ///< A response proved that some leg ran.
    bool mayHaveRun = false; ///< An attempt ended without proof that it did not run.

    double coverage() const { return legs.empty() ? 0 : static_cast<double>(covered) / static_cast<double>(legs.size()); }
    /// Returns true once another attempt could make the request run twice.
    bool mustNotRunAgain() const { return rule->kind == RequestKind::Order && (ran || mayHaveRun); }
    /// Returns false once too many legs have ended without an answer for the rule's minimum coverage.
    bool canCoverEnough() const
    {
        return legs.empty() || static_cast<double>(covered + openLegs) / static_cast<double>(legs.size()) >= rule->minCoverage.value;
    }
    /// Returns how many more legs may end without an answer under the rule's minimum coverage.
    std::size_t spareLegs() const
    {
        constexpr double roundingTolerance = 1e-9;
        const auto allowedMissing = static_cast<std::size_t>(static_cast<double>(legs.size()) * (1 - rule->minCoverage.value) + roundingTolerance);
        const auto alreadyMissing = legs.size() - covered - openLegs;
        return allowedMissing > alreadyMissing ? allowedMissing - alreadyMissing : 0;
    }
    bool coversEnough() const { return covered > 0 && coverage() >= rule->minCoverage.value; }
};

}
