#include "forward_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("A request that comes late in a planned stop is passed on only if it can be answered in time" * doctest::test_suite("forward"))
{
    ForwardSettings settings;
    settings.zone = ZoneName("a");
    ForwardTestBed testBed(settings);
    testBed.addServer("orders", "o1", "a", { .work = 20ms });
    auto route = testBed.singleRoute("orders", false);
    const auto outcomeOf = [&](RequestNumber number) {
        testBed.run(2s);
        return testBed.answerTo(number)->kind;
    };

    SUBCASE("Without measured times the route's target latency is expected")
    {
        testBed.engine().setEnd(testBed.now() + 500ms);
        const auto refused = testBed.start(route);
        REQUIRE(testBed.answerTo(refused));
        CHECK(testBed.answerTo(refused)->kind == ForwardAnswerKind::NotRun);
        CHECK(testBed.arrivals("o1") == 0);
    }
    SUBCASE("Once times are measured, a short request is still served late in the stop")
    {
        for (int i = 0; i < 30; ++i) {
            testBed.start(route);
            testBed.run(50ms);
        }
        testBed.engine().setEnd(testBed.now() + 500ms);
        const auto served = testBed.start(route);
        testBed.run(400ms);
        CHECK(testBed.answerTo(served)->kind == ForwardAnswerKind::PassThrough);
        testBed.run(95ms);
        const auto arrivals = testBed.arrivals("o1");
        CHECK(outcomeOf(testBed.start(route)) == ForwardAnswerKind::NotRun);
        CHECK(testBed.arrivals("o1") == arrivals);
    }
    SUBCASE("Until the end is set, every request is passed on")
    {
        CHECK(outcomeOf(testBed.start(route)) == ForwardAnswerKind::PassThrough);
    }
}

}
