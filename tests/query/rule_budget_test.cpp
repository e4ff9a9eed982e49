#include "query/rule_budget.h"

#include "query/rule_budgets.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

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

TEST_CASE("Hedges stay within their share of the first legs in any window of 2000 legs" * doctest::test_suite("query"))
{
    RuleBudget budget;
    const auto rule = ruleWithFivePercent();

    SUBCASE("The number of saved hedges is bounded")
    {
        sendAndAnswer(budget, rule, 10000, 20);
        CHECK(spendAll(budget) == 10);
    }
    SUBCASE("A wide query can spend the hedges that its own legs earned")
    {
        sendAndAnswer(budget, rule, 460, 460);
        CHECK(spendAll(budget) >= 20);
    }
    SUBCASE("Hedges for a series of late legs after a quiet period stay within 5 %")
    {
        sendAndAnswer(budget, rule, 10000, 20);
        int spent = spendAll(budget);
        for (int i = 0; i < 2000; ++i) {
            sendAndAnswer(budget, rule, 1, 20);
            spent += spendAll(budget);
        }
        CHECK(spent <= 100);
        CHECK(spent >= 90);
    }
    SUBCASE("Refusals reduce the saved hedges, but not below zero")
    {
        sendAndAnswer(budget, rule, 10000, 20);
        for (int i = 0; i < 25; ++i)
            budget.recordRefusal();
        CHECK(spendAll(budget) == 0);
        sendAndAnswer(budget, rule, 23, 20);
        CHECK(spendAll(budget) == 1);
    }
}

TEST_CASE("The engines of an instance share the budget of each rule" * doctest::test_suite("query"))
{
    RuleBudgets budgets;
    const auto rule = ruleWithFivePercent();
    const auto budget = budgets.of("search");
    CHECK(budgets.of("search") == budget);
    CHECK(budgets.of("lookup") != budget);

    SUBCASE("Threads that earn and spend concurrently stay within 5 % together")
    {
        constexpr int threadCount = 4;
        constexpr int legs = 20000;
        std::atomic<int> spent = 0;
        std::vector<std::thread> threads;
        for (int i = 0; i < threadCount; ++i) {
            threads.emplace_back([&] {
                for (int n = 0; n < legs; ++n) {
                    sendAndAnswer(*budget, rule, 1, 20);
                    spent += spendAll(*budget);
                }
            });
        }
        for (auto& it : threads)
            it.join();
        CHECK(spent <= 0.05 * threadCount * legs);
        CHECK(spent >= 0.04 * threadCount * legs);
    }
    SUBCASE("A hedge that gets no extra-attempt token returns its hedge token")
    {
        for (int i = 0; i < 10000; ++i)
            budget->earnLeg(rule, 20);
        while (budget->spendRetry()) { }
        CHECK_FALSE(budget->spendHedge());
        for (int i = 0; i < 1000; ++i)
            budget->earnAnswer(rule);
        CHECK(spendAll(*budget) == 10);
    }
}

}
