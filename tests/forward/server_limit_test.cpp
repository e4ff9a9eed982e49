#include "limited_fleet.h"

#include "forward/limit_sharing.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// What a server allows in four seconds, with the tolerance of its operators.
std::size_t allowedInFourSeconds(double limit)
{
    return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

}

TEST_CASE("A fleet keeps the request rate that a server allows" * doctest::test_suite("forward"))
{
    for (const std::size_t instances : { std::size_t { 1 }, std::size_t { 9 }, std::size_t { 295 } }) {
        for (const double limit : { 0.0, 0.5, 4.0, 25.0, 120.0 }) {
            for (const std::uint64_t seed : { 1, 2, 3 }) {
                CAPTURE(instances);
                CAPTURE(limit);
                CAPTURE(seed);
                LimitedFleet fleet(instances, zones, seed);
                const auto demand = 3 * (3 * limit + 5);
                fleet.run(20s, demand);
                fleet.setLimit(limit);
                fleet.run(30s, demand);
                CHECK(fleet.worstFourSeconds() <= allowedInFourSeconds(limit));
                CHECK(fleet.failed == 0);
                // Unless each instance would have less than one request in some seconds, most of the allowed rate is used.
                if (limit >= 4 && instances <= 9)
                    CHECK(static_cast<double>(fleet.arrivals()) >= 0.75 * 26 * limit * static_cast<double>(fleet.servers()));
            }
        }
    }
}

TEST_CASE("Instances that start, stop, freeze and restart do not break a server's limit" * doctest::test_suite("forward"))
{
    constexpr double limit = 25;
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        CAPTURE(seed);
        LimitedFleet fleet(9, zones, seed);
        fleet.run(20s, 300);
        fleet.setLimit(limit);
        fleet.run(5s, 300);

        SUBCASE("three new instances, which the others list after ten seconds")
        {
            for (int i = 0; i < 3; ++i)
                fleet.add();
            fleet.run(10s, 300);
            fleet.listInstances();
            fleet.run(15s, 300);
        }
        SUBCASE("restarts one after the other")
        {
            for (std::size_t i = 0; i < 9; ++i) {
                fleet.restart(i);
                fleet.run(1300ms, 300);
            }
        }
        SUBCASE("frozen for seconds, then all awake at once")
        {
            for (std::size_t i = 0; i < 6; ++i)
                fleet.stop(i);
            fleet.run(8s, 300);
            for (std::size_t i = 0; i < 6; ++i)
                fleet.wake(i);
            fleet.run(8s, 300);
        }
        CHECK(fleet.worstFourSeconds() <= allowedInFourSeconds(limit));
    }
}

TEST_CASE("Requests beyond a server's limit go to a replica without one, and are refused where there is none" * doctest::test_suite("forward"))
{
    LimitedFleet fleet(9, zones, 1);
    fleet.run(20s, 200);
    CHECK(fleet.refused == 0);

    SUBCASE("A replica without a limit takes them all")
    {
        fleet.exempt("s-b");
        fleet.setLimit(4);
        fleet.run(20s, 200);
        CHECK(fleet.refused == 0);
        CHECK(fleet.worstFourSeconds() <= allowedInFourSeconds(4));
    }
    SUBCASE("The refusals end with the limit")
    {
        fleet.setLimit(4);
        fleet.run(10s, 200);
        CHECK(fleet.refused > 0);
        fleet.setLimit(std::nullopt);
        fleet.run(5s, 200);
        const auto refused = fleet.refused;
        fleet.run(10s, 200);
        CHECK(fleet.refused == refused);
    }
}

TEST_CASE("The instances' shares add up to the limit" * doctest::test_suite("forward"))
{
    const TimePoint now { 100s };
    for (const std::size_t n : { std::size_t { 1 }, std::size_t { 9 }, std::size_t { 295 } }) {
        for (const double limit : { 4.0, 25.0, 120.0 }) {
            CAPTURE(n);
            CAPTURE(limit);
            const auto instances = fleetOf(n);
            for (const auto& reach : { ServiceReach { { zones[0], zones[1] }, false }, ServiceReach { { zones[0], zones[1] }, true } }) {
                double rate = 0;
                double burst = 0;
                std::size_t senders = 0;
                for (const auto& it : instances) {
                    LimitSharing sharing(it.name, it.zone);
                    sharing.setInstances(instances, now);
                    const auto share = sharing.shareOf(serverIn("s", zones[0]), limit, reach, now + 20s);
                    rate += share.perSecond;
                    if (share.expires)
                        continue;
                    ++senders;
                    burst += share.burst;
                    CHECK((it.zone == zones[0] || (reach.isDirect && it.zone == zones[2])));
                }
                CHECK(rate == doctest::Approx(limit));
                CHECK(burst <= limit + 4);
                CHECK(senders >= 1);
            }
        }
    }

    SUBCASE("An instance that starts uses half of its share until the others count it")
    {
        LimitSharing sharing(InstanceName("g0"), zones[0]);
        const auto server = serverIn("s", zones[0]);
        CHECK(sharing.shareOf(server, 20, { { zones[0] }, true }, now).perSecond < 1);
        sharing.setInstances(fleetOf(9), now);
        const auto early = sharing.shareOf(server, 20, { { zones[0] }, true }, now + 1s);
        const auto later = sharing.shareOf(server, 20, { { zones[0] }, true }, sharing.nextChange(now + 1s));
        CHECK(later.perSecond == doctest::Approx(2 * early.perSecond));
        CHECK(sharing.nextChange(now + 1min) == never);
    }
    SUBCASE("In a zone without instances the server is shared by all")
    {
        LimitSharing sharing(InstanceName("g1"), zones[1]);
        sharing.setInstances({ fleetOf(9)[1], fleetOf(9)[2] }, now);
        CHECK_FALSE(sharing.shareOf(serverIn("s", zones[0]), 20, { { zones[0] }, false }, now + 20s).expires);
    }
}

TEST_CASE("A rate limit spreads requests and refills after a pause" * doctest::test_suite("forward"))
{
    ServerRateLimit limit;
    const TimePoint now { 100s };
    CHECK(limit.untilAllowed(now) == Duration {});
    limit.take(now);
    limit.set({ 2, 3 }, 1, now);
    CHECK(limit.untilAllowed(now) == Duration {});
    limit.take(now);
    CHECK(limit.untilAllowed(now) == 500ms);
    CHECK(limit.untilAllowed(now + 500ms) == Duration {});

    SUBCASE("After a pause as many requests are allowed as the burst")
    {
        for (int i = 0; i < 3; ++i) {
            CHECK(limit.untilAllowed(now + 1min) == Duration {});
            limit.take(now + 1min);
        }
        CHECK(limit.untilAllowed(now + 1min) == 500ms);
    }
    SUBCASE("A permission that expires is not kept for later")
    {
        limit.set({ 0.1, 1, true }, 1, now + 500ms);
        CHECK(limit.untilAllowed(now + 500ms) == Duration {});
        CHECK(limit.untilAllowed(now + 1600ms) > 8s);
        CHECK(limit.untilAllowed(now + 10600ms) == Duration {});
    }
    SUBCASE("Without a limit every request is allowed again")
    {
        limit.clear();
        CHECK(limit.untilAllowed(now) == Duration {});
    }
}

}
