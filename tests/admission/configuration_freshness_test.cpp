#include "admission/configuration_freshness.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("A configuration is fresh while its latest proof is younger than the limit" * doctest::test_suite("admission"))
{
    ConfigurationFreshness freshness(5s);
    const TimePoint start { 100s };
    CHECK_FALSE(freshness.isFresh(start));
    CHECK(freshness.age(start) == Duration::max());
    freshness.confirm(start);
    CHECK(freshness.isFresh(start));
    CHECK(freshness.isFresh(start + 4500ms));
    CHECK_FALSE(freshness.isFresh(start + 5s));
    CHECK(freshness.age(start + 2s) == 2s);

    SUBCASE("a proof of an earlier call and the epoch change nothing")
    {
        freshness.confirm(start - 1s);
        freshness.confirm({});
        CHECK(freshness.age(start) == 0s);
    }
    SUBCASE("a proof that was read after a pause counts from the sending of its call, so the configuration stays outdated")
    {
        const auto resumed = start + 60s;
        freshness.confirm(start + 2s);
        CHECK_FALSE(freshness.isFresh(resumed));
        freshness.confirm(resumed);
        CHECK(freshness.isFresh(resumed + 1s));
    }
    SUBCASE("without a limit every configuration is fresh")
    {
        const ConfigurationFreshness unlimited { Duration {} };
        CHECK(unlimited.isFresh(start));
        CHECK(unlimited.freshUntil() == never);
    }
}

}
