#include "loop_lateness.h"

#include "soak_limits.h"

#include <doctest/doctest.h>

namespace lycheefield::soak {

using namespace std::chrono_literals;

TEST_CASE("The soak test counts the timers of its loop that run late, and keeps the greatest lateness" * doctest::test_suite("soak"))
{
    const TimePoint due { 100s };
    LoopLateness lateness;
    CHECK(lateness.greatest() == 0us);

    SUBCASE("A timer in time is not counted")
    {
        CHECK(!lateness.onTimer(due, due));
        CHECK(lateness.count() == 0);
        CHECK(lateness.greatest() == 0us);
    }
    SUBCASE("A timer that runs as late as is allowed is not counted, but its lateness is kept")
    {
        CHECK(!lateness.onTimer(due, due + noticedLateness));
        CHECK(lateness.count() == 0);
        CHECK(lateness.greatest() == noticedLateness);
    }
    SUBCASE("Each timer that runs later is counted")
    {
        CHECK(lateness.onTimer(due, due + noticedLateness + 1us));
        CHECK(lateness.onTimer(due, due + 3s));
        CHECK(!lateness.onTimer(due, due + 1ms));
        CHECK(lateness.onTimer(due, due + 1s));
        CHECK(lateness.count() == 3);
        CHECK(lateness.greatest() == 3s);
    }
}

}
