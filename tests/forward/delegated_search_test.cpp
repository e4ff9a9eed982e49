#include "forward_world.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

/// Six shards with servers in this instance's zone, and four with servers only in zone b, where an
/// instance can be asked.
struct RelayedSearch {
    explicit RelayedSearch(const ForwardSettings& used = settings())
        : world(used)
        , chooser(InstanceName("a1"), ZoneName("a"))
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
    DelegateChooser chooser;
};

}

TEST_CASE("shards without a server in the zone are asked for through another instance" * doctest::test_suite("forward"))
{
    RelayedSearch search;
    auto& world = search.world;
    const auto number = world.start(world.searchRoute(search.names));
    REQUIRE(world.asked().size() == 1);
    const auto ask = world.asked().front();
    CHECK(ask.instance == InstanceName("b1"));
    CHECK(ask.shards == std::vector<ServiceName> { ServiceName("shard6"), ServiceName("shard7"), ServiceName("shard8"), ServiceName("shard9") });
    CHECK(world.sends().size() == 6);

    SUBCASE("its merged parts and ours make one answer")
    {
        world.run(50ms);
        CHECK_FALSE(world.answerTo(number));
        world.relayed(ask.id, search.parts(4));
        const auto* answer = world.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->missingShards == 0);
        CHECK(answer->signatures.size() == 10);
        CHECK(answer->message.body.substr(0, 16) == std::string(16, 'z'));
        CHECK(world.endedRelays() == 0);
    }
    SUBCASE("parts that come a little later than they should are still in an answer that can't wait longer")
    {
        world.model("shard0-x").isSilent = true;
        world.model("shard0-y").isSilent = true;
        world.run(ask.answerBy - world.now() + 5ms);
        CHECK_FALSE(world.answerTo(number));
        world.relayed(ask.id, search.parts(4));
        world.run(20ms);
        REQUIRE(world.answerTo(number));
        CHECK(world.answerTo(number)->missingShards == 1);
        CHECK(world.outcomes().at(number).took < 200ms);
    }
    SUBCASE("what it did not get is asked for from here, as an extra send")
    {
        world.run(50ms);
        world.relayed(ask.id, search.parts(3));
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
        world.relayed(ask.id, twice);
        CHECK(world.sends().empty());
    }
    SUBCASE("one that fell silent may have sent each leg once: a second server is asked from here")
    {
        world.run(50ms);
        world.relayFailed(ask.id, true);
        CHECK(world.sends().size() == 4);
        CHECK(world.engine().counters().retries == 4);
        world.run(50ms);
        REQUIRE(world.answerTo(number));
        CHECK(world.answerTo(number)->missingShards == 0);
    }
    SUBCASE("legs for which it may use a second server are not taken back when it falls silent")
    {
        world.run(50ms);
        world.secondSendsWanted(ask.id, { 0, 1, 2, 3 });
        CHECK(world.granted() == std::vector<DelegationId> { ask.id });
        world.relayFailed(ask.id, true);
        CHECK(world.sends().empty());
        REQUIRE(world.answerTo(number));
        CHECK(world.answerTo(number)->kind == ForwardAnswerKind::Failed);
    }
    SUBCASE("when it confirmed and is silent, its legs are taken back if second sends are allowed")
    {
        world.run(100ms);
        CHECK(world.relaySilent(ask.id));
        CHECK(world.sends().size() == 4);
    }
    SUBCASE("and once they are taken back nothing is granted any more")
    {
        world.run(50ms);
        world.relayFailed(ask.id, true);
        world.secondSendsWanted(ask.id, { 0 });
        CHECK(world.granted().empty());
    }
    SUBCASE("when it did not take the call, everything is asked for from here, as a first send")
    {
        world.relayFailed(ask.id, false);
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
        world.relayed(ask.id, search.parts(4));
        CHECK(world.outcomes().empty());
    }
    SUBCASE("an answer that names a part twice, or one that was not asked for, is refused whole")
    {
        auto odd = search.parts(4);
        odd.coveredShards = { 77, 0, 0, 1 };
        world.run(50ms);
        world.relayed(ask.id, odd);
        CHECK(world.sends().size() == 4);
        world.run(50ms);
        REQUIRE(world.answerTo(number));
        CHECK(world.answerTo(number)->message.body.substr(0, 16) == std::string(16, 'r'));
    }
}

TEST_CASE("an instance that confirmed and is silent is waited for while no second send is allowed" * doctest::test_suite("forward"))
{
    auto settings = RelayedSearch::settings();
    settings.retrySlack = 0;
    RelayedSearch search(settings);
    auto& world = search.world;
    const auto number = world.start(world.searchRoute(search.names));
    const auto ask = world.asked().at(0);
    world.run(100ms);
    CHECK_FALSE(world.relaySilent(ask.id));
    CHECK(world.sends().empty());
    world.relayed(ask.id, search.parts(4));
    REQUIRE(world.answerTo(number));
    CHECK(world.answerTo(number)->missingShards == 0);
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
        world.now() + 180ms, { ServiceName("shard6"), ServiceName("shard7") }, true };
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
        world.run(180ms);
        REQUIRE(world.answerTo(request.number));
        CHECK(world.answerTo(request.number)->coveredShards == std::vector<std::uint32_t> { 0 });
        CHECK(world.outcomes().at(request.number).took == 180ms);
    }
    SUBCASE("no leg of it goes to a second server before the other instance allows it")
    {
        for (const auto* it : { "shard7-x", "shard7-y" })
            world.model(it).isSilent = true;
        world.run(90ms);
        CHECK(world.arrivals("shard7-x") + world.arrivals("shard7-y") == 1);
        REQUIRE(world.wanted().size() == 1);
        CHECK(world.wanted().front().positions == std::vector<std::uint32_t> { 1 });
        world.secondSendsGranted(request.number);
        CHECK(world.arrivals("shard7-x") + world.arrivals("shard7-y") == 2);
    }
    SUBCASE("a leg that failed there goes back, so that the other instance asks a second server")
    {
        world.lose(world.sends().front().id, ServerRequestFailure::Broken);
        CHECK(world.sends().size() == 1);
        world.run(60ms);
        REQUIRE(world.answerTo(request.number));
        CHECK(world.answerTo(request.number)->runs == std::vector<std::uint32_t> { 1, 1 });
        CHECK(world.answerTo(request.number)->missingShards == 1);
    }
}

TEST_CASE("a search of more shards than a small instance can send in time" * doctest::test_suite("forward"))
{
    auto settings = RelayedSearch::settings();
    settings.cores = Share { 0.1 };
    ForwardWorld world(settings);
    std::vector<std::string> names;
    for (int i = 0; i < 60; ++i) {
        names.push_back("shard" + std::to_string(i));
        world.addServer(names.back(), names.back() + "-x", "a");
    }
    DelegateChooser chooser { InstanceName("a0"), ZoneName("a") };
    std::vector<Instance> fleet;
    for (const auto* name : { "a0", "a1", "a2", "a3", "a4", "a5" }) {
        Instance it;
        it.name = InstanceName(name);
        it.zone = ZoneName("a");
        fleet.push_back(it);
    }
    chooser.onPeers(fleet);
    world.engine().setRelays(chooser);
    const auto number = world.start(world.searchRoute(names));

    SUBCASE("is shared by instances of the zone, each shard once")
    {
        std::size_t given = 0;
        for (const auto& it : world.asked()) {
            CHECK(it.shards.size() <= 12);
            given += it.shards.size();
        }
        CHECK(world.asked().size() >= 3);
        CHECK(given + world.sends().size() == 60);
    }
    SUBCASE("and merged from what each of them got")
    {
        world.run(50ms);
        const auto asked = world.asked();
        for (const auto& it : asked) {
            ForwardAnswer answer;
            answer.kind = ForwardAnswerKind::Search;
            for (std::uint32_t i = 0; i < it.shards.size(); ++i) {
                answer.signatures.push_back(it.shards[i].value());
                answer.coveredShards.push_back(i);
                answer.runs.push_back(1);
            }
            world.relayed(it.id, answer);
        }
        REQUIRE(world.answerTo(number));
        CHECK(world.answerTo(number)->missingShards == 0);
        CHECK(world.answerTo(number)->signatures.size() == 60);
    }
    SUBCASE("when one of them falls silent its shards are asked for from here")
    {
        const auto before = world.sends().size();
        const auto lost = world.asked().front();
        world.relayFailed(lost.id, true);
        CHECK(world.sends().size() == before + lost.shards.size());
    }
}

}
