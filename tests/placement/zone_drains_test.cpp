#include "placement/zone_drains.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("A process knows which zones are drained" * doctest::test_suite("placement"))
{
    const TimePoint now { 100s };
    const ZoneName a("a");
    const ZoneName b("b");

    SUBCASE("It uses no server before it has a list of the drains, but waits no longer than the limit")
    {
        ZoneDrains drains(5s);
        CHECK_FALSE(drains.mayUseServers(now));
        drains.recordServersKnown(now);
        drains.recordServersKnown(now + 3s);
        CHECK_FALSE(drains.mayUseServers(now + 4999ms));
        CHECK(drains.mayUseServers(now + 5s));
        drains.replaceAll({}, now + 1s);
        CHECK(drains.mayUseServers(now + 1s));
    }
    SUBCASE("Without a limit drains are not followed, and servers are used at once")
    {
        CHECK(ZoneDrains(Duration {}).mayUseServers(now));
    }
    SUBCASE("The store comes back from an older copy, and its list lacks a drain that was in force")
    {
        ZoneDrains drains(5s);
        drains.replaceAll({ a, b }, now);
        const auto until = now + 10s + 30s;
        drains.recordNewEpoch(now + 10s);
        CHECK(drains.replaceAll({ b }, now + 10s) == ZoneDrainChange {});
        CHECK(drains.zones() == std::set { a, b });
        CHECK(drains.nextExpiry() == until);

        SUBCASE("The drain goes on when the operator has written it again")
        {
            CHECK(drains.replaceAll({ a, b }, until - 1ms) == ZoneDrainChange {});
            CHECK(drains.nextExpiry() == never);
            CHECK(drains.expire(now + 1min) == ZoneDrainChange {});
            CHECK(drains.zones() == std::set { a, b });
        }
        SUBCASE("The drain ends when the list still lacks it after the time in which the operator writes again what was lost")
        {
            CHECK(drains.expire(until - 1ms) == ZoneDrainChange {});
            CHECK(drains.expire(until) == ZoneDrainChange { {}, { { a, 40s } } });
            CHECK(drains.zones() == std::set { b });
        }
        SUBCASE("Drains that the new epoch has listed end with their entries")
        {
            const ZoneName c("c");
            drains.replaceAll({ a, b, c }, now + 12s);
            CHECK(drains.replaceAll({ b, c }, now + 13s) == ZoneDrainChange { {}, { { a, 13s } } });
            CHECK(drains.replaceAll({}, now + 14s) == ZoneDrainChange { {}, { { b, 14s }, { c, 2s } } });
        }
        SUBCASE("A second older copy may lack them again")
        {
            drains.replaceAll({ a, b }, now + 12s);
            drains.recordNewEpoch(now + 13s);
            CHECK(drains.replaceAll({ b }, now + 13s) == ZoneDrainChange {});
            CHECK(drains.nextExpiry() == until + 3s);
        }
        // Otherwise a zone stayed without work long after its drain had ended, while the store came back again and again.
        SUBCASE("Further returns of the store, whose lists lack it too, don't begin that time anew")
        {
            drains.recordNewEpoch(now + 20s);
            CHECK(drains.replaceAll({ b }, now + 20s) == ZoneDrainChange {});
            drains.recordNewEpoch(now + 30s);
            CHECK(drains.replaceAll({ b }, now + 30s) == ZoneDrainChange {});
            CHECK(drains.nextExpiry() == until);
        }
        SUBCASE("A later list ends it when that time is over")
        {
            CHECK(drains.replaceAll({ b }, until + 1s) == ZoneDrainChange { {}, { { a, 41s } } });
            CHECK(drains.nextExpiry() == never);
        }
    }
    SUBCASE("A list replaces the one before, and tells what began and what ended")
    {
        ZoneDrains drains(5s);
        CHECK(drains.replaceAll({ a }, now) == ZoneDrainChange { { a }, {} });
        CHECK(drains.replaceAll({ a }, now + 1s) == ZoneDrainChange {});
        CHECK(drains.replaceAll({ b }, now + 3s) == ZoneDrainChange { { b }, { { a, 3s } } });
        CHECK(drains.count() == 1);
    }
}

}
