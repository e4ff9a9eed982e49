#include "standin/delay_line.h"

#include <doctest/doctest.h>

namespace lycheefield::standin {

using namespace std::chrono_literals;

TEST_CASE("A delay line delivers bytes after the delay of its link" * doctest::test_suite("standin"))
{
    DelayLine line(7);
    LinkBehaviour behaviour;
    const TimePoint start(1s);

    SUBCASE("Bytes arrive in order, each after the delay")
    {
        line.push("a", behaviour, start);
        line.push("b", behaviour, start + 1ms);
        CHECK(line.take(behaviour, start + 2ms).empty());
        CHECK(line.take(behaviour, start + 3ms) == "a");
        CHECK(line.nextArrival() == start + 4ms);
        CHECK(line.take(behaviour, start + 5ms) == "b");
        CHECK(line.nextArrival() == never);
    }
    SUBCASE("A retransmitted message holds back the messages behind it")
    {
        behaviour.retransmitProbability = 1;
        line.push("a", behaviour, start);
        behaviour.retransmitProbability = 0;
        line.push("b", behaviour, start);
        CHECK(line.take(behaviour, start + 100ms).empty());
        CHECK(line.take(behaviour, start + 203ms) == "ab");
    }
    SUBCASE("A cut link passes no bytes until the cut ends")
    {
        line.push("a", behaviour, start);
        behaviour.isCut = true;
        CHECK(line.take(behaviour, start + 1s).empty());
        behaviour.isCut = false;
        CHECK(line.take(behaviour, start + 1s) == "a");
    }
}

}
