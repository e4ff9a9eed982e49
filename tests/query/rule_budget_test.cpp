#include "query/rule_budget.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

Rule ruleWithFivePercent()
{
    Rule rule;
    rule.hedgeBudget = percent(5);
    rule.retryBudget = percent(10);
    return rule;
}

int spendAll(RuleBudget& budget)
{
    int n = 0;
    while (budget.spendHedge())
        ++n;
    return n;
}

void sendAndAnswer(RuleBudget& budget, const Rule& rule, int legs, std::size_t legsOfQuery)
{
    for (int i = 0; i < legs; ++i) {
        budget.earnLeg(rule, legsOfQuery);
        budget.earnAnswer(rule);
    }
}

}

TEST_CASE("hedges keep to their share of the first legs, in any window of ten thousand" * doctest::test_suite("query"))
{
    RuleBudget budget;
    const auto rule = ruleWithFivePercent();

    SUBCASE("a long quiet time saves a bounded number")
    {
        sendAndAnswer(budget, rule, 10000, 20);
        CHECK(spendAll(budget) == 16);
    }
    SUBCASE("a wide query has what it earned for its own late legs")
    {
        sendAndAnswer(budget, rule, 460, 460);
        CHECK(spendAll(budget) >= 20);
    }
    SUBCASE("a spell of stragglers after a quiet time stays within 5 %")
    {
        sendAndAnswer(budget, rule, 10000, 20);
        int spent = spendAll(budget);
        for (int i = 0; i < 10000; ++i) {
            sendAndAnswer(budget, rule, 1, 20);
            spent += spendAll(budget);
        }
        CHECK(spent <= 500);
        CHECK(spent >= 440);
    }
    SUBCASE("refusals take hedges away, and never below none")
    {
        sendAndAnswer(budget, rule, 10000, 20);
        for (int i = 0; i < 25; ++i)
            budget.noteRefusal();
        CHECK(spendAll(budget) == 0);
        sendAndAnswer(budget, rule, 23, 20);
        CHECK(spendAll(budget) == 1);
    }
}

}
