#include "quota_fleet.h"

#include <doctest/doctest.h>

using namespace lycheefield;

TEST_SUITE_BEGIN("quota");

TEST_CASE("all instances together admit no more than a team's quota allows in any window, whatever is broken")
{
    constexpr std::uint64_t seeds = 1000;
    constexpr double minShare = 0.95;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto fault = static_cast<QuotaFault>(seed % quotaFaults);
        const auto demand = static_cast<QuotaDemand>(seed / quotaFaults % quotaDemands);
        QuotaFleet fleet(fault, demand, seed);
        fleet.run();
        CAPTURE(seed);
        CAPTURE(toString(fault));
        CAPTURE(toString(demand));
        CAPTURE(fleet.describe());
        CHECK(fleet.mostHolders() <= 1);
        CHECK(fleet.worstExcess() <= 0);
        CHECK(fleet.unanswered() == 0);
        if (fault != QuotaFault::None)
            continue;
        CHECK(static_cast<double>(fleet.admitted()) >= minShare * static_cast<double>(fleet.allowed()));
        CHECK(fleet.worstShare() >= minShare);
    }
}

TEST_SUITE_END();
