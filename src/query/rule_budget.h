#pragma once

#include "query/ratio_token_bucket.h"
#include "rules/rule.h"

namespace lycheefield {

/// The budget of one rule's queries for extra attempts. Hedges are limited to a share of the first
/// attempts. Hedges and retries together are limited to a share of the answered legs: while no leg
/// is answered, retries only add load. Thread safe: the engines of an instance share one budget, so that
/// one engine can spend what another saved.
class RuleBudget {
public:
    /// Adds what the first attempt of one leg earns, for a query with that many legs.
    void earnLeg(const Rule& rule, std::size_t legsOfQuery)
    {
        const auto ofQuery = rule.hedgeBudget.value * static_cast<double>(legsOfQuery);
        m_hedges.setCapacity(std::max(minHedgeCapacity, hedgeCapacityInQueries * ofQuery));
        m_hedges.earn(Share { rule.hedgeBudget.value * earnedFraction }, 1);
    }
    /// Adds what one answered leg earns.
    void earnAnswer(const Rule& rule) { m_extraAttempts.earn(std::max(rule.hedgeBudget, rule.retryBudget), 1); }

    /// Records an attempt that was refused or expired, and takes one hedge from the budget: under
    /// overload a hedge only takes a slot from another request.
    void recordRefusal() { m_hedges.discard(1); }

    bool canHedge() const { return m_hedges.hasToken() && m_extraAttempts.hasToken(); }
    /// Takes the tokens for one hedge; returns false when there are too few.
    bool spendHedge()
    {
        if (!m_hedges.spend())
            return false;
        if (m_extraAttempts.spend())
            return true;
        m_hedges.refund();
        return false;
    }
    bool spendRetry() { return m_extraAttempts.spend(); }

private:
    /// Hedges that can be saved while few legs are late, as a number of queries. minHedgeCapacity applies to
    /// queries with few legs. With S saved hedges and a share B, an instance hedges at most 0.9 B L + S of L first
    /// legs, which is at most B L over any span of S / (0.1 B) legs or more. At 5 % and 20 legs per query this
    /// span is 2000 legs, or 100 queries.
    static constexpr double hedgeCapacityInQueries = 2;
    static constexpr double minHedgeCapacity = 10;
    /// Fraction of the rule's hedge budget that is earned; the rest leaves room for saved hedges.
    static constexpr double earnedFraction = 0.9;
    /// Extra attempts that can be saved: enough for the legs of a wide query that a few relays hold.
    static constexpr double maxExtraTokens = 200;
    /// Initial tokens, so that a rule whose queries have a single leg can retry at once.
    static constexpr double initialExtraTokens = 10;

    RatioTokenBucket m_hedges { 0, minHedgeCapacity };
    RatioTokenBucket m_extraAttempts { initialExtraTokens, maxExtraTokens };
};

}
