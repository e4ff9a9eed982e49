#include "forward/extra_attempt_budget.h"

#include <doctest/doctest.h>

#include <vector>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("extra sends keep to a share of the first ones in every window" * doctest::test_suite("forward"))
{
    const ExtraAttemptBudgetLimits limits { Share { 0.2 }, 0, 10s };
    ExtraAttemptBudget budget;
    TimePoint now { 100s };

    SUBCASE("nothing is allowed without first sends, but for the slack")
    {
        CHECK_FALSE(budget.takeExtra(now, limits));
        const ExtraAttemptBudgetLimits withSlack { Share { 0.2 }, 2, 10s };
        CHECK(budget.takeExtra(now, withSlack));
        CHECK(budget.takeExtra(now, withSlack));
        CHECK_FALSE(budget.takeExtra(now, withSlack));
    }
    SUBCASE("what was allowed in one window is not allowed again in the next")
    {
        std::vector<TimePoint> extras;
        for (int i = 0; i < 4000; ++i) {
            now += 10ms;
            budget.recordFirst(now, limits.window);
            while (budget.takeExtra(now, limits))
                extras.push_back(now);
        }
        // 1,000 first sends in each window of 10 s: at most 200 extra ones in any.
        std::size_t from = 0;
        for (std::size_t i = 0; i < extras.size(); ++i) {
            while (extras[i] - extras[from] >= limits.window)
                ++from;
            REQUIRE(i - from + 1 <= 200);
        }
        CHECK(extras.size() > 400);
    }
    SUBCASE("first sends are forgotten after the window")
    {
        for (int i = 0; i < 100; ++i)
            budget.recordFirst(now, limits.window);
        CHECK(budget.hasExtra(now + 5s, limits));
        CHECK_FALSE(budget.hasExtra(now + 12s, limits));
    }
    SUBCASE("a long silence clears everything")
    {
        for (int i = 0; i < 100; ++i)
            budget.recordFirst(now, limits.window);
        while (budget.takeExtra(now, limits)) { }
        CHECK_FALSE(budget.hasExtra(now + 1h, limits));
        CHECK(budget.hasExtra(now + 1h, { Share { 0.2 }, 1, 10s }));
    }
}

}
