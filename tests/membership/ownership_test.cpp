#include "membership/ownership.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

Instance instanceIn(const std::string& name, const std::string& zone)
{
    Instance instance;
    instance.name = InstanceName(name);
    instance.zone = ZoneName(zone);
    return instance;
}

ShardMap twelveServersIn(const std::string& zone)
{
    std::vector<Server> servers;
    for (int i = 0; i < 12; ++i) {
        Server server;
        server.name = ServerName("s" + std::to_string(i));
        server.zone = ZoneName(zone);
        server.service = ServiceName("quotedesk");
        servers.push_back(server);
    }
    return ShardMap({}, servers);
}

}

TEST_CASE("Each block of servers has an owner and a standby" * doctest::test_suite("membership"))
{
    const auto map = twelveServersIn("a");
    const std::vector<Instance> all { instanceIn("i0", "a"), instanceIn("i1", "a"), instanceIn("i2", "a"), instanceIn("i3", "b") };
    const Ownership ownership { MembershipView(all), map };

    SUBCASE("The owner and the standby are different instances in the zone of the servers")
    {
        for (const auto& [name, server] : map.servers()) {
            const auto* owners = ownership.ownersOf(name);
            REQUIRE(owners);
            CHECK(owners->owner != owners->standby);
            CHECK(owners->owner != InstanceName("i3"));
            CHECK(owners->standby != InstanceName("i3"));
        }
    }
    SUBCASE("The standby becomes the owner when the owner leaves, and no other block moves")
    {
        const auto before = *ownership.ownersOf(ServerName("s0"));
        auto changed = all;
        for (auto& it : changed) {
            if (it.name == before.owner)
                it.health = InstanceHealth::Leaving;
        }
        const Ownership after { MembershipView(changed), map };
        CHECK(after.ownersOf(ServerName("s0"))->owner == before.standby);
        for (const auto& [name, server] : map.servers()) {
            const auto old = ownership.ownersOf(name)->owner;
            if (old != before.owner)
                CHECK(after.ownersOf(name)->owner == old);
        }
    }
    SUBCASE("Instances keep their blocks when all of them are leaving, to serve their last requests")
    {
        auto leaving = all;
        for (auto& it : leaving)
            it.health = InstanceHealth::Leaving;
        const Ownership last { MembershipView(leaving), map };
        for (const auto& [name, server] : map.servers()) {
            REQUIRE(last.ownersOf(name));
            CHECK(last.ownersOf(name)->owner == ownership.ownersOf(name)->owner);
        }
        leaving.back().health = InstanceHealth::Alive;
        const Ownership oneStays { MembershipView(leaving), map };
        CHECK(oneStays.ownersOf(ServerName("s0"))->owner == leaving.back().name);
    }
    SUBCASE("A zone with a single instance uses a standby from another zone")
    {
        const Ownership sparse { MembershipView({ instanceIn("i0", "a"), instanceIn("i3", "b") }), map };
        const auto* owners = sparse.ownersOf(ServerName("s0"));
        REQUIRE(owners);
        CHECK_FALSE(owners->standby.value().empty());
    }
    SUBCASE("With direct routing each instance owns every server and counts the instances that share it")
    {
        auto members = all;
        const auto direct = Ownership::ofDirectRouting(InstanceName("i3"), MembershipView(members), map);
        for (const auto& [name, server] : map.servers())
            CHECK(direct.ownersOf(name)->owner == InstanceName("i3"));
        CHECK(direct.holdersOfServer() == 4);
        members[0].health = InstanceHealth::Suspect;
        members[1].health = InstanceHealth::Gone;
        CHECK(Ownership::ofDirectRouting(InstanceName("i3"), MembershipView(members), map).holdersOfServer() == 3);
        CHECK_FALSE(Ownership::ofDirectRouting(InstanceName("i9"), MembershipView(members), map).ownersOf(ServerName("s0")));
    }
}

}
