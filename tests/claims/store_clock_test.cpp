#include "claims/store_clock.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("StoreClock gives a lower and an upper bound of the store's time" * doctest::test_suite("claims"))
{
    using namespace std::chrono_literals;
    constexpr std::int64_t reported = 1'700'000'000;
    const TimePoint begin { 1h };
    StoreClock clock;

    SUBCASE("Both bounds are 0 before the first response")
    {
        CHECK(clock.earliestAt(begin) == 0);
        CHECK(clock.latestAt(begin) == 0);
    }
    SUBCASE("The bounds allow for the whole seconds of an immediate response")
    {
        clock.update(reported, begin, begin);
        CHECK(clock.earliestAt(begin + 1900ms) == reported + 1);
        CHECK(clock.latestAt(begin + 1900ms) >= reported + 2);
    }
    SUBCASE("The bounds also allow for the duration of a slow call")
    {
        clock.update(reported, begin, begin + 30s);
        CHECK(clock.earliestAt(begin + 31s) == reported + 1);
        CHECK(clock.latestAt(begin + 31s) > reported + 31);
    }
}

}
