#include "forward/service_waits.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("The expected time of a leg follows from the legs ahead, the attempts in flight and their observed times" * doctest::test_suite("forward"))
{
    const ServiceName service("ledger");
    TimePoint now { 100s };
    const LegPriority usual { 0, 1 };
    ServiceWaits waits;
    const auto serve = [&](int count, Duration time) {
        for (int i = 0; i < count; ++i)
            waits.recordServed(service, time, now);
    };
    waits.recordSent(service);
    waits.recordSent(service);

    SUBCASE("Two attempts at a time take ten legs in five turns, and then the leg itself")
    {
        serve(10, 20ms);
        CHECK(waits.expected(service, usual, 10, now) == 120ms);
        CHECK(waits.expectedWait(service, 10, now) == 100ms);
    }
    SUBCASE("Legs that waited longer than the legs ahead of them needed make the next ones of their priority expect that")
    {
        serve(10, 20ms);
        for (int i = 0; i < 100; ++i)
            waits.recordWait(service, usual, 100ms, 300ms, now);
        CHECK(waits.expected(service, usual, 10, now) > 310ms);
        CHECK(waits.expected(service, usual, 10, now) <= 320ms);
        CHECK(waits.expected(service, { 0, 0 }, 10, now) == 120ms);
    }
    SUBCASE("Nothing is expected from few responses")
    {
        serve(9, 20ms);
        CHECK(!waits.expected(service, usual, 10, now));
    }
    SUBCASE("Nothing is expected from old responses, and few new ones do not bring the old ones back")
    {
        serve(10, 20ms);
        now += 3s;
        CHECK(!waits.expected(service, usual, 10, now));
        serve(5, 40ms);
        CHECK(!waits.expected(service, usual, 10, now));
        serve(5, 40ms);
        CHECK(waits.expected(service, usual, 2, now) == 80ms);
    }
    SUBCASE("Nothing is expected of a service with no attempt in flight")
    {
        serve(10, 20ms);
        waits.recordEnd(service);
        waits.recordEnd(service);
        CHECK(!waits.expected(service, usual, 10, now));
    }
    SUBCASE("A service that is not wanted is kept while it has attempts in flight")
    {
        waits.keepOnly([](const ServiceName&) { return false; });
        waits.recordEnd(service);
        waits.recordEnd(service);
        waits.keepOnly([](const ServiceName&) { return false; });
        serve(10, 20ms);
        CHECK(!waits.expected(service, usual, 2, now));
    }
}

}
