#include "forward/extra_attempt_budget.h"

#include <doctest/doctest.h>

#include <vector>

namespace lycheefield {

TEST_CASE("The instances' shares of the slack leave a reserve, and one attempt each where that is nearly a share" * doctest::test_suite("forward"))
{
    CHECK(slackShare(60, 10) == 3);
    CHECK(slackShare(600, 300) == 1);
    CHECK(slackShare(100, 300) < 0.5);
    // Even with all counts lost once within a window, the fleet stays within the slack.
    for (const double slack : { 10.0, 50.0, 150.0, 200.0, 600.0, 1000.0 }) {
        for (std::uint32_t instances = 1; instances <= 600; ++instances)
            CHECK(instances * slackShare(slack, instances) <= 0.9 * slack);
    }
}

using namespace std::chrono_literals;

TEST_CASE("The budget limits extra attempts to a share of the first attempts in every window" * doctest::test_suite("forward"))
{
    const ExtraAttemptBudgetLimits limits { Share { 0.2 }, 0, 10s };
    ExtraAttemptBudget budget;
    TimePoint now { 100s };

    SUBCASE("The budget allows only the slack without first attempts")
    {
        CHECK_FALSE(budget.takeExtra(now, limits));
        const ExtraAttemptBudgetLimits withSlack { Share { 0.2 }, 2, 10s };
        CHECK(budget.takeExtra(now, withSlack));
        CHECK(budget.takeExtra(now, withSlack));
        CHECK_FALSE(budget.takeExtra(now, withSlack));
    }
    SUBCASE("The budget holds for every sliding window")
    {
        std::vector<TimePoint> extras;
        for (int i = 0; i < 4000; ++i) {
            now += 10ms;
            budget.recordFirst(now, limits.window);
            while (budget.takeExtra(now, limits))
                extras.push_back(now);
        }
        // 1,000 first attempts in each window of 10 s allow at most 200 extra attempts in any window.
        std::size_t from = 0;
        for (std::size_t i = 0; i < extras.size(); ++i) {
            while (extras[i] - extras[from] >= limits.window)
                ++from;
            REQUIRE(i - from + 1 <= 200);
        }
        CHECK(extras.size() > 400);
    }
    SUBCASE("The budget forgets first attempts after the window")
    {
        for (int i = 0; i < 100; ++i)
            budget.recordFirst(now, limits.window);
        CHECK(budget.hasExtra(now + 5s, limits));
        CHECK_FALSE(budget.hasExtra(now + 12s, limits));
    }
    SUBCASE("The budget is empty after a long time without attempts")
    {
        for (int i = 0; i < 100; ++i)
            budget.recordFirst(now, limits.window);
        while (budget.takeExtra(now, limits)) { }
        CHECK_FALSE(budget.hasExtra(now + 1h, limits));
        CHECK(budget.hasExtra(now + 1h, { Share { 0.2 }, 1, 10s }));
    }
}

}
