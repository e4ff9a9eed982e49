#include "forward/delegate_chooser.h"
#include "forward/server_pool.h"

#include <doctest/doctest.h>

#include <set>

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

TEST_CASE("The chooser selects an instance in the zone of the servers" * doctest::test_suite("forward"))
{
    DelegateChooser chooser { InstanceName("a1"), ZoneName("a") };
    const std::vector<Instance> fleet { instance("a1", "a"), instance("b1", "b"), instance("b2", "b"), instance("c1", "c") };
    chooser.onPeers(fleet);
    TimePoint now { 10s };
    const std::vector<ZoneCoverage> coverage { { ZoneName("b"), 7 }, { ZoneName("c"), 5 } };

    SUBCASE("The chooser takes turns between the instances of the zone with the most shards")
    {
        const auto first = chooser.choose(coverage, now);
        const auto second = chooser.choose(coverage, now);
        REQUIRE(first);
        REQUIRE(second);
        CHECK(first->zone == ZoneName("b"));
        CHECK(second->zone == ZoneName("b"));
        CHECK(first->instance != second->instance);
    }
    SUBCASE("The chooser selects no instance for fewer than three shards")
    {
        CHECK_FALSE(chooser.choose({ { ZoneName("b"), 2 } }, now));
        CHECK_FALSE(chooser.choose({}, now));
    }
    SUBCASE("The chooser avoids an instance that did not confirm, for longer after each failure")
    {
        const InstanceName silent("b1");
        const auto isChosen = [&](TimePoint at) {
            for (int i = 0; i < 4; ++i) {
                if (chooser.choose(coverage, at)->instance == silent)
                    return true;
            }
            return false;
        };
        chooser.recordNoConfirmation(silent, now);
        CHECK_FALSE(isChosen(now + 400ms));
        CHECK(isChosen(now + 600ms));
        chooser.recordNoConfirmation(silent, now);
        CHECK_FALSE(isChosen(now + 900ms));
        chooser.recordConfirmation(silent, 6ms);
        chooser.recordNoConfirmation(silent, now);
        CHECK(isChosen(now + 600ms));

        SUBCASE("The chooser selects a restarted instance at once")
        {
            chooser.recordNoConfirmation(silent, now);
            chooser.onPeers({ instance("b1", "b", 2), instance("b2", "b") });
            CHECK(isChosen(now));
        }
    }
    SUBCASE("The chooser selects no instance when none of the zone confirmed")
    {
        for (const auto* it : { "b1", "b2" })
            chooser.recordNoConfirmation(InstanceName(it), now);
        CHECK_FALSE(chooser.choose(coverage, now));
    }
    SUBCASE("The confirmation time-out follows the instance's round trips")
    {
        const InstanceName peer("b1");
        const auto unknown = chooser.confirmationTimeout(peer);
        chooser.recordConfirmation(peer, 12ms);
        CHECK(chooser.confirmationTimeout(peer) == 36ms);
        CHECK(chooser.confirmationTimeout(peer) < unknown);
        CHECK(chooser.returnTime(peer) == 6ms);
    }
}

TEST_CASE("The chooser assigns a group of legs to a few instances of the zone" * doctest::test_suite("forward"))
{
    std::vector<Instance> fleet;
    for (int i = 0; i < 12; ++i) {
        auto it = instance(("a" + std::to_string(i)).c_str(), "a");
        it.cores = i < 6 ? 0.5 : 0.1;
        fleet.push_back(it);
    }
    DelegateChooser chooser { InstanceName("a1"), ZoneName("a") };
    chooser.onPeers(fleet);
    const ZoneName zone("a");
    const TimePoint now { 10s };
    const auto instancesOf = [&](DelegateChooser& anyChooser, const LegGroup& group) {
        std::set<InstanceName> names;
        for (int i = 0; i < 24; ++i)
            names.insert(*anyChooser.instanceFor(zone, group, now));
        return names;
    };

    SUBCASE("Choosers of different instances assign a group to the same instances")
    {
        DelegateChooser other { InstanceName("a7"), ZoneName("a") };
        other.onPeers(fleet);
        for (std::size_t i = 0; i < 6; ++i) {
            CHECK(instancesOf(chooser, { i, 6 }) == instancesOf(other, { i, 6 }));
            CHECK(instancesOf(chooser, { i, 6 }).size() == 2);
        }
    }
    SUBCASE("The chooser prefers instances with more processor")
    {
        int strong = 0;
        int weak = 0;
        for (std::size_t i = 0; i < 60; ++i) {
            for (const auto& it : instancesOf(chooser, { i, 60 })) {
                const bool isStrong = std::stoi(it.value().substr(1)) < 6;
                ++(isStrong ? strong : weak);
            }
        }
        CHECK(strong > 4 * weak);
    }
    SUBCASE("When a group's instances do not confirm, the chooser falls back to others and finally to this instance")
    {
        const LegGroup group { 2, 6 };
        for (const auto& it : instancesOf(chooser, group))
            chooser.recordNoConfirmation(it, now);
        const auto instead = instancesOf(chooser, group);
        CHECK(instead.size() == 1);
        for (const auto& it : fleet)
            chooser.recordNoConfirmation(it.name, now);
        CHECK(*chooser.instanceFor(zone, group, now) == InstanceName("a1"));
    }
    SUBCASE("The chooser selects no instance in a zone without instances")
    {
        CHECK_FALSE(chooser.instanceFor(ZoneName("x"), { 0, 1 }, now));
    }
}

TEST_CASE("The network time to a zone is the shortest round trip to its instances" * doctest::test_suite("forward"))
{
    DelegateChooser chooser { InstanceName("a1"), ZoneName("a") };
    chooser.onPeers({ instance("b1", "b"), instance("b2", "b"), instance("c1", "c") });
    CHECK(chooser.networkTimeTo(ZoneName("b")) == Duration {});
    chooser.recordConfirmation(InstanceName("b1"), 30ms);
    chooser.recordConfirmation(InstanceName("b2"), 9ms);
    CHECK(chooser.networkTimeTo(ZoneName("b")) == 9ms);
    CHECK(chooser.networkTimeTo(ZoneName("c")) == Duration {});
}

TEST_CASE("A server in a zone that is farther away than the setting says is expected to respond later" * doctest::test_suite("forward"))
{
    ForwardSettings settings;
    settings.zone = ZoneName("a");
    settings.crossZoneCost = 12ms;
    SeededRandom random(1);
    ServerPool pool(settings, random);
    ServerEntry entry;
    entry.name = ServerName("s1");
    entry.service = ServiceName("s");
    entry.zone = ZoneName("b");
    const TimePoint now { 100s };
    pool.update({ { entry.name, entry } }, now);
    const PickContext context { 20ms, now, nullptr, 160ms };
    const auto server = pool.pick(entry.service, { 100 }, context);
    REQUIRE(server);
    CHECK(pool.expected(*server, context) == 32ms);
    pool.setNetworkTime(entry.zone, 50ms);
    CHECK(pool.expected(*server, context) == 70ms);
    pool.setNetworkTime(entry.zone, 5ms);
    CHECK(pool.expected(*server, context) == 32ms);
}

}
