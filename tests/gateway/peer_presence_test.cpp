#include "gateway/peer_presence.h"

#include <doctest/doctest.h>

#include <string>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

std::vector<Instance> instancesNamed(std::size_t n)
{
    std::vector<Instance> instances(n);
    for (std::size_t i = 0; i < n; ++i)
        instances[i].name = InstanceName("i" + std::to_string(i));
    return instances;
}

std::set<InstanceName> namesOf(const std::vector<Instance>& instances)
{
    std::set<InstanceName> names;
    for (const auto& it : instances)
        names.insert(it.name);
    return names;
}

}

// The objects of machines that were removed long ago were ranked for quotas and for watching the store like running instances.
TEST_CASE("An instance that nothing shows to run is presumed gone when it stays silent" * doctest::test_suite("gateway"))
{
    const auto instances = instancesNamed(3);
    const auto& other = instances[1].name;
    PeerPresence presence(instances[0].name);
    TimePoint now { 1000s };
    presence.setInstances(instances, namesOf(instances), now);
    CHECK(presence.takeProbes(now).size() == 2);
    CHECK(presence.gone().empty());

    SUBCASE("one that answers is not")
    {
        CHECK_FALSE(presence.onMessage(other));
        now += PeerPresence::answerTime;
        CHECK(presence.onTimer(now));
        CHECK(presence.gone() == std::set { instances[2].name });

        SUBCASE("nor is one that is heard of later")
        {
            CHECK(presence.onMessage(instances[2].name));
            CHECK(presence.gone().empty());
            CHECK(presence.nextWake() == never);
        }
    }
    SUBCASE("one that refreshes its object is not")
    {
        now += PeerPresence::answerTime;
        CHECK(presence.onTimer(now));
        CHECK(presence.setInstances(instances, { instances[2].name }, now));
        CHECK(presence.gone() == std::set { instances[2].name });
    }
    SUBCASE("it is probed again, as a message may be lost")
    {
        now += 1s;
        CHECK(presence.takeProbes(now).size() == 2);
    }
    // The store may bring back the object of an instance that has ended, with an older copy.
    SUBCASE("one that is listed later without being verified is probed too")
    {
        const auto more = instancesNamed(4);
        presence.takeProbes(now);
        presence.setInstances(more, namesOf(more), now);
        CHECK(presence.takeProbes(now) == std::vector { more[3].name });
    }
    SUBCASE("one that has been seen to refresh its object isn't probed")
    {
        PeerPresence calm(instances[0].name);
        calm.setInstances(instances, {}, now);
        CHECK(calm.takeProbes(now).empty());
        CHECK(calm.nextWake() == never);
    }
}

TEST_CASE("Of many unverified instances few are probed, and all once one of those is silent" * doctest::test_suite("gateway"))
{
    const auto instances = instancesNamed(200);
    PeerPresence presence(instances[0].name);
    TimePoint now { 1000s };
    presence.setInstances(instances, namesOf(instances), now);
    const auto first = presence.takeProbes(now);
    REQUIRE(first.size() == PeerPresence::probedFirst);

    SUBCASE("all of them answer")
    {
        for (const auto& it : first)
            presence.onMessage(it);
        now += 1min;
        CHECK_FALSE(presence.onTimer(now));
        CHECK(presence.takeProbes(now).empty());
    }
    SUBCASE("one doesn't")
    {
        for (std::size_t i = 1; i < first.size(); ++i)
            presence.onMessage(first[i]);
        std::size_t asked = 0;
        for (int i = 0; i < 60; ++i) {
            now += 100ms;
            presence.onTimer(now);
            const auto due = presence.takeProbes(now).size();
            CHECK(due <= 150);
            asked += due;
        }
        CHECK(asked >= 184);
        CHECK(presence.gone().size() == 184);
    }
}

}
