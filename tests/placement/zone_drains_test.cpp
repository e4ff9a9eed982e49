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
