#include "claims/store_clock.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("The store's clock is known between two bounds" * doctest::test_suite("claims"))
{
    using namespace std::chrono_literals;
    constexpr std::int64_t told = 1'700'000'000;
    const TimePoint begin { 1h };
    StoreClock clock;

    SUBCASE("not at all before the store told it")
    {
        CHECK(clock.earliestAt(begin) == 0);
        CHECK(clock.latestAt(begin) == 0);
    }
    SUBCASE("from an answer at once, but for its whole seconds")
    {
        clock.note(told, begin, begin);
        CHECK(clock.earliestAt(begin + 1900ms) == told + 1);
        CHECK(clock.latestAt(begin + 1900ms) >= told + 2);
    }
    SUBCASE("and from an answer that took long, but for that time")
    {
        clock.note(told, begin, begin + 30s);
        CHECK(clock.earliestAt(begin + 31s) == told + 1);
        CHECK(clock.latestAt(begin + 31s) > told + 31);
    }
}

}
