#include "placement/zone_spill.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr ZoneSpillInputs shortOfServers { .backlog = 20, .capacity = 10, .headroom = 8, .requestTime = 20ms, .zoneInstances = 4 };
constexpr ZoneSpillInputs enoughServers { .backlog = 3, .capacity = 10, .headroom = 8, .requestTime = 20ms, .zoneInstances = 4 };
constexpr ZoneSpillInputs allFull { .backlog = 20, .capacity = 10, .headroom = 0, .requestTime = 20ms, .zoneInstances = 4 };

void observe(ZoneSpill& spill, const ZoneSpillInputs& inputs, Duration time, TimePoint& now)
{
    for (const auto end = now + time; now < end; now += ZoneSpill::updatePeriod)
        spill.update(inputs, now);
}

}

TEST_CASE("The share of requests that may leave the zone follows the shortage" * doctest::test_suite("placement"))
{
    TimePoint now { 100s };
    ZoneSpill spill(0.5);
    spill.update(enoughServers, now);
    CHECK(spill.share(now) == 0);
    SUBCASE("A shortage raises it step by step")
    {
        observe(spill, shortOfServers, 200ms, now);
        const auto first = spill.share(now);
        CHECK(first > 0);
        CHECK(first < 1);
        observe(spill, shortOfServers, 2s, now);
        CHECK(spill.share(now) == 1);
        CHECK(spill.mayLeave(false, 0.9, now));
        SUBCASE("and it stays while the backlog is between the thresholds")
        {
            auto inputs = shortOfServers;
            inputs.backlog = 8;
            observe(spill, inputs, 5s, now);
            CHECK(spill.share(now) == 1);
        }
        SUBCASE("and falls when servers are enough again")
        {
            observe(spill, enoughServers, 1s, now);
            CHECK(spill.share(now) < 1);
            CHECK(spill.share(now) > 0);
            observe(spill, enoughServers, 3s, now);
            CHECK(spill.share(now) == 0);
        }
        SUBCASE("and falls without observations")
        {
            CHECK(spill.share(now + 10s) == 0);
        }
        SUBCASE("and falls when other zones are full, which no request may leave for")
        {
            observe(spill, allFull, 1s, now);
            CHECK(spill.share(now) == 0);
            CHECK_FALSE(spill.mayLeave(true, 0, now));
        }
    }
    SUBCASE("A request that would be late may leave at once")
    {
        CHECK(spill.mayLeave(true, 0.9, now));
        CHECK_FALSE(spill.mayLeave(false, 0, now));
        SUBCASE("unless the zone's instances together have more such requests than there is headroom")
        {
            for (int i = 0; i < 500; ++i)
                spill.recordCandidate(now += 1ms);
            spill.update(shortOfServers, now);
            CHECK(spill.mayLeave(true, 0.2, now));
            CHECK_FALSE(spill.mayLeave(true, 0.9, now));
        }
    }
    SUBCASE("Requests count as leaving from a clear share until almost none leave")
    {
        for (int i = 0; i < 20; ++i)
            spill.recordSent(i % 4 == 0);
        CHECK(spill.isSpilling());
        for (int i = 0; i < 20; ++i)
            spill.recordSent(false);
        CHECK(spill.isSpilling());
        for (int i = 0; i < 100; ++i)
            spill.recordSent(false);
        CHECK_FALSE(spill.isSpilling());
    }
}

}
