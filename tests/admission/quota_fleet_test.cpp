#include "quota_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

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

// A start that found the object of one instance that is gone granted nothing for 112 s, to no team (review/11).
TEST_CASE("after a start of everything but some instances, teams are served again within seconds")
{
    constexpr std::uint64_t seeds = 120;
    constexpr double minShare = 0.95;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        QuotaFleet fleet(QuotaFault::PartStarts, seed % 2 == 0 ? QuotaDemand::Even : QuotaDemand::Uneven, seed);
        fleet.run();
        CAPTURE(seed);
        CAPTURE(fleet.describe());
        CHECK(fleet.mostHolders() <= 1);
        CHECK(fleet.worstExcess() <= 0);
        CHECK(fleet.shareAfterStart(true) >= minShare);
    }
}

TEST_CASE("while instances are added or stopped calmly a team's quota stays used")
{
    constexpr std::uint64_t seeds = 40;
    constexpr double minShare = 0.99;
    constexpr double minShareOfHotTeam = 0.95;
    for (const auto fault : { QuotaFault::InstancesAdded, QuotaFault::PlannedStops }) {
        for (const auto demand : { QuotaDemand::Even, QuotaDemand::Hot }) {
            double admitted = 0;
            double allowed = 0;
            double worst = 1;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                QuotaFleet fleet(fault, demand, seed);
                fleet.run();
                admitted += static_cast<double>(fleet.admitted());
                allowed += static_cast<double>(fleet.allowed());
                worst = std::min(worst, fleet.worstShare());
            }
            CAPTURE(toString(fault));
            CAPTURE(toString(demand));
            CHECK(admitted >= minShare * allowed);
            CHECK(worst >= (demand == QuotaDemand::Hot ? minShareOfHotTeam : 0.9));
        }
    }
}

TEST_SUITE_END();
