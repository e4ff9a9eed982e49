#pragma once

#include "query/token_bucket.h"
#include "rules/rule.h"

namespace lycheefield {

/// What the queries of one rule may still spend on extra legs.
struct RuleBudget {
    /// Hedges start from nothing, so their share holds from the first query on.
    TokenBucket hedges { 0, maxHedgeTokens };
    /// A few retries are there from the start: a rule with single legs must not wait for its first.
    TokenBucket retries { initialRetryTokens, maxRetryTokens };

    static constexpr double maxHedgeTokens = 200;
    static constexpr double initialRetryTokens = 10;
    static constexpr double maxRetryTokens = 100;

    void earn(const Rule& rule, std::size_t firstLegs)
    {
        hedges.earn(rule.hedgeBudget, static_cast<double>(firstLegs));
        retries.earn(rule.retryBudget, static_cast<double>(firstLegs));
    }
};

}
