#include "placement/reported_slowdown.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("A server's reported slowdown counts as far as its latencies confirm it" * doctest::test_suite("placement"))
{
    TimePoint now { 100s };
    ReportedSlowdown slowdown;
    SUBCASE("Without a report the observed latencies decide")
    {
        CHECK(slowdown.combinedWith(1, now) == 1);
        CHECK(slowdown.combinedWith(2.5, now) == 2.5);
    }
    SUBCASE("A report of slow work makes the server look slower")
    {
        slowdown.record(4, now);
        const auto first = slowdown.combinedWith(1, now);
        CHECK(first > 1.2);
        SUBCASE("but a single one less so than several")
        {
            slowdown.record(4, now + 10ms);
            CHECK(slowdown.combinedWith(1, now + 10ms) > first);
        }
        SUBCASE("and never faster than observed")
        {
            CHECK(slowdown.combinedWith(6, now) == 6);
        }
        SUBCASE("until the report is old")
        {
            CHECK(slowdown.combinedWith(1, now + 200ms) < first);
            CHECK(slowdown.combinedWith(1, now + 400ms) == 1);
        }
    }
    SUBCASE("A report of fast work attracts no requests")
    {
        slowdown.record(0.2, now);
        CHECK(slowdown.combinedWith(1, now) == 1);
    }
    SUBCASE("Reports that the latencies contradict lose their effect, and regain it with confirmation")
    {
        for (int i = 0; i < 20; ++i) {
            slowdown.record(4, now);
            slowdown.recordSample(1, 1, now);
        }
        CHECK(slowdown.combinedWith(1, now) < 1.1);
        for (int i = 0; i < 40; ++i) {
            slowdown.record(4, now);
            slowdown.recordSample(4, 1, now);
        }
        CHECK(slowdown.combinedWith(1, now) > 3);
    }
}

}
