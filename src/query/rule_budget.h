#pragma once

#include "query/ratio_token_bucket.h"
#include "rules/rule.h"

namespace lycheefield {

/// What the queries of one rule may still spend on extra legs. Hedges keep to their own share of the
/// first legs. Hedges and retries together keep to a share of the legs that were answered: when
/// nothing is answered, retries only add load. Thread safe: the engines of an instance share it, so that
/// what one of them saves another can spend.
class RuleBudget {
public:
    /// To be called for each first leg of a query that has so many.
    void earnLeg(const Rule& rule, std::size_t legsOfQuery)
    {
        const auto ofQuery = rule.hedgeBudget.value * static_cast<double>(legsOfQuery);
        m_hedges.setCapacity(std::max(minHedgeCapacity, hedgeCapacityInQueries * ofQuery));
        m_hedges.earn(Share { rule.hedgeBudget.value * earnedFraction }, 1);
    }
    /// To be called for each leg that got its answer.
    void earnAnswer(const Rule& rule) { m_extraAttempts.earn(std::max(rule.hedgeBudget, rule.retryBudget), 1); }

    /// To be called for each leg that was refused or could not be done in time. It costs a hedge: under
    /// overload a second leg only takes a slot from another request.
    void recordRefusal() { m_hedges.drain(1); }

    bool canHedge() const { return m_hedges.has() && m_extraAttempts.has(); }
    /// Takes what one hedge costs; false when there is not enough.
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
    /// Hedges saved in a quiet time: those of so many queries, or a least number for narrow ones. With S
    /// saved, an instance hedges at most 0.9 B L + S of L first legs, for a share B: no more than B L over any
    /// span of S / (0.1 B) legs or more. At 5 % and 20 legs a query that is 2000 legs, or 100 queries.
    static constexpr double hedgeCapacityInQueries = 2;
    static constexpr double minHedgeCapacity = 10;
    /// Part of the share that is earned; the rest leaves room for what was saved.
    static constexpr double earnedFraction = 0.9;
    /// Retries saved: enough for the legs that a few relays have of a wide query.
    static constexpr double maxExtraTokens = 200;
    /// A rule with single legs must not wait for its first retry.
    static constexpr double initialExtraTokens = 10;

    RatioTokenBucket m_hedges { 0, minHedgeCapacity };
    RatioTokenBucket m_extraAttempts { initialExtraTokens, maxExtraTokens };
};

}
