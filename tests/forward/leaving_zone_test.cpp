#include "zone_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lycheefield {

namespace {

constexpr int instancesPerZone = 4;
constexpr std::size_t serversPerZone = 3;
constexpr std::uint64_t seeds = 6;

/// Two zones with three servers each, which serve 300 requests per second together.
ZoneFleet twoZones(std::uint64_t seed)
{
    ZoneFleet fleet(instancesPerZone, seed);
    for (std::size_t i = 0; i < serversPerZone; ++i) {
        fleet.addServer("a");
        fleet.addServer("b");
    }
    return fleet;
}

void addDemand(ZoneFleet& fleet, double inA, double inB)
{
    fleet.setDemand("a", inA);
    fleet.setDemand("b", inB);
}

}

TEST_CASE("Requests leave a zone as far as its servers can't serve them in time and others can" * doctest::test_suite("forward"))
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        auto fleet = twoZones(seed);
        addDemand(fleet, 150, 150);
        auto results = fleet.run(5s);
        CHECK(results["a"].inTimeShare() >= 0.99);
        CHECK(fleet.foreignArrivalsIn("b") <= 0.03 * results["a"].requests);
        SUBCASE("With a wave of demand the excess leaves, steadily")
        {
            addDemand(fleet, 360, 80);
            results = fleet.run(10s);
            CHECK(results["a"].inTimeShare() >= 0.99);
            CHECK(results["b"].inTimeShare() >= 0.99);
            CHECK(fleet.leftShareOf("a") >= 0.15);
            CHECK(fleet.leftShareOf("a") <= 0.5);
            CHECK(fleet.swingsOf("a") == 0);
            SUBCASE("and after the wave the requests stay again")
            {
                addDemand(fleet, 150, 80);
                results = fleet.run(5s);
                CHECK(results["a"].inTimeShare() >= 0.99);
                CHECK(fleet.leftShareOf("a") <= 0.05);
            }
        }
        SUBCASE("With slow servers in one zone the other zone still serves its own callers")
        {
            addDemand(fleet, 200, 80);
            for (std::size_t i = 0; i < 2 * serversPerZone; i += 2)
                fleet.server(i).work = 80ms;
            results = fleet.run(10s);
            CHECK(results["a"].inTimeShare() >= 0.9);
            CHECK(results["b"].inTimeShare() >= 0.98);
        }
        SUBCASE("With most servers of a zone silent, these count as no capacity")
        {
            addDemand(fleet, 200, 80);
            fleet.server(0).isSilent = true;
            fleet.server(2).isSilent = true;
            fleet.run(5s);
            results = fleet.run(5s);
            CHECK(results["a"].inTimeShare() >= 0.97);
            CHECK(results["b"].inTimeShare() >= 0.99);
        }
    }
}

TEST_CASE("A zone without servers sends all requests out" * doctest::test_suite("forward"))
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        ZoneFleet fleet(instancesPerZone, seed);
        for (std::size_t i = 0; i < serversPerZone; ++i)
            fleet.addServer("b");
        addDemand(fleet, 100, 100);
        auto results = fleet.run(5s);
        CHECK(results["a"].inTimeShare() >= 0.99);
        CHECK(results["b"].inTimeShare() >= 0.99);
    }
}

TEST_CASE("A full zone's callers are served no worse because another zone is overloaded" * doctest::test_suite("forward"))
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        auto fleet = twoZones(seed);
        addDemand(fleet, 150, 280);
        const auto before = fleet.run(5s);
        addDemand(fleet, 360, 280);
        auto results = fleet.run(10s);
        CHECK(results["b"].inTimeShare() >= before.at("b").inTimeShare() - 0.1);
    }
}

TEST_CASE("Servers of a zone get their parts of the load" * doctest::test_suite("forward"))
{
    constexpr double maxOverFairPart = 1.3;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        ZoneFleet fleet(instancesPerZone, seed);
        for (int i = 0; i < 4; ++i)
            fleet.addServer("a");
        fleet.setDemand("a", 250);
        SUBCASE("Equal servers get about equal parts")
        {
            fleet.run(10s);
            int sum = 0;
            int most = 0;
            for (std::size_t i = 0; i < 4; ++i) {
                sum += fleet.server(i).arrivals;
                most = std::max(most, fleet.server(i).arrivals);
            }
            CHECK(most <= maxOverFairPart * sum / 4);
        }
        SUBCASE("A server with a third of the speed gets a part, but not an equal one")
        {
            fleet.server(0).work = 60ms;
            fleet.server(0).reportedSlowdown = 3;
            fleet.run(10s);
            int others = 0;
            for (std::size_t i = 1; i < 4; ++i)
                others += fleet.server(i).arrivals;
            CHECK(fleet.server(0).arrivals <= maxOverFairPart * others / 9);
            CHECK(fleet.server(0).arrivals >= 0.1 * others / 9);
        }
    }
}

}
