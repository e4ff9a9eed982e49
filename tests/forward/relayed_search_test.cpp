#include "forward_world.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

/// Six shards with servers in this instance's zone, and four with servers only in zone b, where an
/// instance can be asked.
struct RelayedSearch {
    RelayedSearch()
        : world(settings())
        , chooser(InstanceName("a1"))
    {
        for (int i = 0; i < 10; ++i) {
            names.push_back("shard" + std::to_string(i));
            world.addServer(names.back(), names.back() + "-x", i < 6 ? "a" : "b");
            world.addServer(names.back(), names.back() + "-y", "b");
        }
        Instance other;
        other.name = InstanceName("b1");
        other.zone = ZoneName("b");
        chooser.onPeers({ other });
        world.engine().setRelays(chooser);
    }

    static ForwardSettings settings()
    {
        ForwardSettings settings;
        settings.zone = ZoneName("a");
        settings.retrySlack = 100;
        return settings;
    }

    /// What the other instance got: that many of the shards that it was asked for.
    ForwardAnswer parts(std::uint32_t n) const
    {
        ForwardAnswer answer;
        answer.kind = ForwardAnswerKind::Search;
        for (std::uint32_t i = 0; i < n; ++i) {
            answer.signatures.push_back("b" + std::to_string(i));
            answer.coveredShards.push_back(i);
        }
        answer.message.body = std::string(16, 'z');
        answer.runs = { 1, 1, 1, 1 };
        return answer;
    }

    std::vector<std::string> names;
    ForwardWorld world;
    RelayChooser chooser;
};

}

TEST_CASE("shards without a server in the zone are asked for through another instance" * doctest::test_suite("forward"))
{
    RelayedSearch search;
    auto& world = search.world;
    const auto number = world.start(world.searchRoute(search.names));
    REQUIRE(world.asked().size() == 1);
    const auto& ask = world.asked().front();
    CHECK(ask.instance == InstanceName("b1"));
    CHECK(ask.shards == std::vector<ServiceName> { ServiceName("shard6"), ServiceName("shard7"), ServiceName("shard8"), ServiceName("shard9") });
    CHECK(world.sends().size() == 6);

    SUBCASE("its merged parts and ours make one answer")
    {
        world.run(50ms);
        CHECK_FALSE(world.answerTo(number));
        world.relayed(number, search.parts(4));
        const auto* answer = world.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->missingShards == 0);
        CHECK(answer->signatures.size() == 10);
        CHECK(answer->message.body.substr(0, 16) == std::string(16, 'z'));
        CHECK(world.endedRelays() == 0);
    }
    SUBCASE("what it did not get is asked for from here, as an extra send")
    {
        world.run(50ms);
        world.relayed(number, search.parts(3));
        CHECK(world.sends().size() == 1);
        world.run(50ms);
        REQUIRE(world.answerTo(number));
        CHECK(world.answerTo(number)->missingShards == 0);
        CHECK(world.engine().counters().retries == 1);
    }
    SUBCASE("but not when it ran on as many servers there as it may")
    {
        world.run(50ms);
        auto twice = search.parts(3);
        twice.runs[3] = 2;
        world.relayed(number, twice);
        CHECK(world.sends().empty());
    }
    SUBCASE("a call that was taken and never answered may have run everywhere: nothing of it is sent again")
    {
        world.run(50ms);
        world.relayFailed(number, true);
        CHECK(world.sends().empty());
        REQUIRE(world.answerTo(number));
        CHECK(world.answerTo(number)->kind == ForwardAnswerKind::Failed);
    }
    SUBCASE("when it did not take the call, everything is asked for from here, as a first send")
    {
        world.relayFailed(number, false);
        CHECK(world.sends().size() == 10);
        CHECK(world.engine().counters().retries == 0);
        world.run(60ms);
        REQUIRE(world.answerTo(number));
        CHECK(world.answerTo(number)->missingShards == 0);
    }
    SUBCASE("it is told when its parts are not waited for any more")
    {
        world.leave(number);
        CHECK(world.endedRelays() == 1);
        world.relayed(number, search.parts(4));
        CHECK(world.outcomes().empty());
    }
    SUBCASE("a part that it names twice, or that was not asked for, counts for nothing")
    {
        auto odd = search.parts(4);
        odd.coveredShards = { 0, 0, 77, 1 };
        world.run(50ms);
        world.relayed(number, odd);
        CHECK(world.sends().size() == 2);
    }
}

TEST_CASE("a part of a search is run for another instance" * doctest::test_suite("forward"))
{
    RelayedSearch search;
    auto& world = search.world;
    auto table = std::make_shared<RouteTable>();
    table->routes = { world.searchRoute(search.names) };
    for (const auto& it : search.names)
        table->services[ServiceName(it)] = { 26 };
    ForwardRequest request { RequestNumber(900), table, &table->routes.front(), std::make_shared<const HttpRequest>(), "id", world.now() + 3s, world.now(),
        world.now() + 100ms, { ServiceName("shard6"), ServiceName("shard7") }, true };
    world.startAs(request);
    CHECK(world.asked().empty());
    CHECK(world.sends().size() == 2);

    SUBCASE("and answered with all of its shards")
    {
        world.run(60ms);
        REQUIRE(world.answerTo(request.number));
        CHECK(world.answerTo(request.number)->coveredShards == std::vector<std::uint32_t> { 0, 1 });
    }
    SUBCASE("or with what is in when the other instance needs it")
    {
        for (const auto* it : { "shard7-x", "shard7-y" })
            world.model(it).isSilent = true;
        world.run(100ms);
        REQUIRE(world.answerTo(request.number));
        CHECK(world.answerTo(request.number)->coveredShards == std::vector<std::uint32_t> { 0 });
        CHECK(world.outcomes().at(request.number).took == 100ms);
    }
}

}
