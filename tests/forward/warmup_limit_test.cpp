#include "limited_fleet.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

constexpr auto warmup = 8s;

double takenInOneSecond(double rate)
{
    return rate * LimitedFleet::warmupTolerance + LimitedFleet::warmupSlack;
}

}

TEST_CASE("Servers of a zone that returns are not crushed while they warm up" * doctest::test_suite("forward"))
{
    for (const std::size_t instances : { std::size_t { 1 }, std::size_t { 9 }, std::size_t { 87 } }) {
        for (const double rate : { 0.5, 4.0, 20.0 }) {
            for (const std::uint64_t seed : { 1, 2, 3 }) {
                CAPTURE(instances);
                CAPTURE(rate);
                CAPTURE(seed);
                LimitedFleet fleet(instances, zones, seed, rate);
                fleet.run(20s, 300);

                SUBCASE("Their entries tell each instance, some earlier than others")
                {
                    fleet.returnZone(zones[1], warmup, 500ms);
                    fleet.run(6s, 300);
                }
                SUBCASE("Three instances have started meanwhile, which the others list later")
                {
                    for (int i = 0; i < 3; ++i)
                        fleet.add();
                    fleet.returnZone(zones[1], warmup, 500ms);
                    fleet.run(3s, 300);
                    fleet.listInstances();
                    fleet.run(3s, 300);
                }
                SUBCASE("Only their responses tell")
                {
                    fleet.returnZone(zones[1], warmup, 500ms, true);
                    fleet.run(6s, 300);
                }
                CHECK(static_cast<double>(fleet.worstWarmSecond()) <= takenInOneSecond(rate));
                // Replicas in the other zones take the load.
                CHECK(fleet.refused == 0);
                CHECK(fleet.failed == 0);
            }
        }
    }
}

TEST_CASE("The limit ends with the warm-up" * doctest::test_suite("forward"))
{
    constexpr double rate = 4;
    LimitedFleet fleet(9, { zones[1] }, 1, rate);
    fleet.run(20s, 100);
    CHECK(fleet.refused == 0);
    fleet.returnZone(zones[1], 3s, {});
    fleet.run(3s, 100);
    CHECK(fleet.refused > 0);
    CHECK(fleet.warmArrivals() > 0);
    const auto refused = fleet.refused;
    fleet.run(5s, 100);
    CHECK(fleet.refused == refused);
}

TEST_CASE("Without a warm-up rate servers that warm up get requests as before" * doctest::test_suite("forward"))
{
    LimitedFleet fleet(9, { zones[1] }, 1);
    fleet.run(20s, 100);
    fleet.returnZone(zones[1], 5s, {});
    fleet.run(5s, 100);
    CHECK(fleet.refused == 0);
    CHECK(fleet.warmArrivals() > 400);
}

}
