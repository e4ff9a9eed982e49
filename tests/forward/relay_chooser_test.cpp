#include "forward/relay_chooser.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

Instance instance(const char* name, const char* zone, std::uint64_t life = 1)
{
    Instance instance;
    instance.name = InstanceName(name);
    instance.zone = ZoneName(zone);
    instance.life = ProcessLife(life);
    return instance;
}

}

TEST_CASE("an instance next to the servers is asked" * doctest::test_suite("forward"))
{
    RelayChooser chooser { InstanceName("a1") };
    const std::vector<Instance> fleet { instance("a1", "a"), instance("b1", "b"), instance("b2", "b"), instance("c1", "c") };
    chooser.onPeers(fleet);
    TimePoint now { 10s };
    const std::vector<ZoneCoverage> coverage { { ZoneName("b"), 7 }, { ZoneName("c"), 5 } };

    SUBCASE("in the zone that serves the most shards, each in turn")
    {
        const auto first = chooser.choose(coverage, now);
        const auto second = chooser.choose(coverage, now);
        REQUIRE(first);
        REQUIRE(second);
        CHECK(first->zone == ZoneName("b"));
        CHECK(second->zone == ZoneName("b"));
        CHECK(first->instance != second->instance);
    }
    SUBCASE("but not for a few shards")
    {
        CHECK_FALSE(chooser.choose({ { ZoneName("b"), 2 } }, now));
        CHECK_FALSE(chooser.choose({}, now));
    }
    SUBCASE("one that was silent is left for a while, longer each time")
    {
        const InstanceName silent("b1");
        const auto isAsked = [&](TimePoint at) {
            for (int i = 0; i < 4; ++i) {
                if (chooser.choose(coverage, at)->instance == silent)
                    return true;
            }
            return false;
        };
        chooser.noteSilence(silent, now);
        CHECK_FALSE(isAsked(now + 400ms));
        CHECK(isAsked(now + 600ms));
        chooser.noteSilence(silent, now);
        CHECK_FALSE(isAsked(now + 900ms));
        chooser.noteReceipt(silent, 6ms);
        chooser.noteSilence(silent, now);
        CHECK(isAsked(now + 600ms));

        SUBCASE("and at once after it started anew")
        {
            chooser.noteSilence(silent, now);
            chooser.onPeers({ instance("b1", "b", 2), instance("b2", "b") });
            CHECK(isAsked(now));
        }
    }
    SUBCASE("with all of them silent the shards are asked for from here")
    {
        for (const auto* it : { "b1", "b2" })
            chooser.noteSilence(InstanceName(it), now);
        CHECK_FALSE(chooser.choose(coverage, now));
    }
    SUBCASE("the wait for its confirmation follows its round trips")
    {
        const InstanceName peer("b1");
        const auto unknown = chooser.receiptTimeout(peer);
        chooser.noteReceipt(peer, 12ms);
        CHECK(chooser.receiptTimeout(peer) == 36ms);
        CHECK(chooser.receiptTimeout(peer) < unknown);
        CHECK(chooser.wayBack(peer) == 6ms);
    }
}

}
