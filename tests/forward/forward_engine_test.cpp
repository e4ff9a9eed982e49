#include "forward_world.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

ForwardSettings settings()
{
    ForwardSettings settings;
    settings.zone = ZoneName("a");
    settings.retrySlack = 100;
    return settings;
}

std::vector<std::string> shards(int n)
{
    std::vector<std::string> names;
    for (int i = 0; i < n; ++i)
        names.push_back("shard" + std::to_string(i));
    return names;
}

/// Two servers a shard, one in each zone.
void addShards(ForwardWorld& world, int n)
{
    for (const auto& it : shards(n)) {
        world.addServer(it, it + "-a", "a");
        world.addServer(it, it + "-b", "b");
    }
}

}

TEST_CASE("a search asks every shard once and is answered whole" * doctest::test_suite("forward"))
{
    ForwardWorld world(settings());
    addShards(world, 20);
    const auto route = world.searchRoute(shards(20));
    const auto number = world.start(route);
    CHECK(world.sends().size() == 20);
    for (const auto& it : world.sends())
        CHECK(it.server.zone == ZoneName("a"));

    SUBCASE("when all parts are in")
    {
        world.run(50ms);
        const auto* answer = world.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->kind == ForwardAnswerKind::Search);
        CHECK(answer->missingShards == 0);
        CHECK(answer->signatures.size() == 20);
        CHECK(answer->message.body.size() == 5 * 16);
    }
    SUBCASE("a late part is asked for at the other replica, and the part counts once")
    {
        world.model("shard3-a").isSilent = true;
        world.run(190ms);
        const auto* answer = world.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->missingShards == 0);
        CHECK(world.arrivals("shard3-b") == 1);
        CHECK(world.engine().counters().hedges == 1);
    }
    SUBCASE("just before the target latency it is answered with what is in, if that is enough")
    {
        for (const auto* it : { "shard3-a", "shard3-b", "shard4-a", "shard4-b" })
            world.model(it).isSilent = true;
        world.run(200ms);
        const auto* answer = world.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->missingShards == 2);
        CHECK(answer->signatures.size() == 18);
        CHECK(world.outcomes().at(number).took == route.targetLatency - settings().answerMargin);
    }
    SUBCASE("with too few parts it waits on, and is answered the moment there are enough")
    {
        for (const auto* it : { "shard3-a", "shard3-b", "shard4-a", "shard4-b", "shard5-a", "shard5-b" })
            world.model(it).isSilent = true;
        world.run(400ms);
        CHECK_FALSE(world.answerTo(number));
        for (const auto& it : world.sends()) {
            if (it.server.name == ServerName("shard3-a"))
                world.reply(it.id, ServerResponseKind::Served);
        }
        const auto* answer = world.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->missingShards == 2);
    }
    SUBCASE("just before its deadline, without enough parts, it is told so, and never as not run")
    {
        for (const auto* it : { "shard3-a", "shard3-b", "shard4-a", "shard4-b", "shard5-a", "shard5-b" })
            world.model(it).isSilent = true;
        world.run(4s);
        const auto* answer = world.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->kind == ForwardAnswerKind::TimedOut);
        CHECK(world.outcomes().at(number).took < route.timeout);
        CHECK(world.outcomes().at(number).took > route.timeout - 50ms);
    }
    SUBCASE("a caller that leaves ends the work at the servers")
    {
        world.run(5ms);
        world.leave(number);
        CHECK(world.closedSends() == 20);
        CHECK(world.sends().empty());
        world.run(1s);
        CHECK(world.outcomes().empty());
    }
}

TEST_CASE("a search that can't cover enough is refused at once, as not run" * doctest::test_suite("forward"))
{
    ForwardWorld world(settings());
    addShards(world, 10);
    const auto number = world.start(world.searchRoute(shards(20)));
    const auto* answer = world.answerTo(number);
    REQUIRE(answer);
    CHECK(answer->kind == ForwardAnswerKind::NotRun);
    CHECK(answer->retryAfter > Duration {});
    CHECK(world.sends().empty());
}

TEST_CASE("a request that must not run twice" * doctest::test_suite("forward"))
{
    ForwardWorld world(settings());
    for (const auto* it : { "s1", "s2", "s3" })
        world.addServer("ledger", it, "a");
    const auto number = world.start(world.singleRoute("ledger", false));
    REQUIRE(world.sends().size() == 1);
    const auto first = world.sends().front();

    SUBCASE("is never sent again while its server is silent")
    {
        world.model(first.server.name.value()).isSilent = true;
        world.run(2500ms);
        CHECK(world.sends().size() == 1);
        CHECK_FALSE(world.answerTo(number));
    }
    SUBCASE("is not sent again, and not called not run, after its connection broke")
    {
        world.lose(first.id, ServerRequestFailure::Broken);
        const auto* answer = world.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->kind == ForwardAnswerKind::Failed);
        CHECK(world.sends().empty());
    }
    SUBCASE("goes to another server when the first proved that it did not run")
    {
        for (const auto loss : { ServerRequestFailure::NotConnected, ServerRequestFailure::ConnectionRejected }) {
            CAPTURE(toString(loss));
            ForwardWorld other(settings());
            for (const auto* it : { "s1", "s2" })
                other.addServer("ledger", it, "a");
            const auto again = other.start(other.singleRoute("ledger", false));
            other.lose(other.sends().front().id, loss);
            REQUIRE(other.sends().size() == 1);
            other.run(1s);
            REQUIRE(other.answerTo(again));
            CHECK(other.answerTo(again)->kind == ForwardAnswerKind::PassThrough);
        }
        world.reply(first.id, ServerResponseKind::WrongServer);
        REQUIRE(world.sends().size() == 1);
        CHECK(world.sends().front().server.name != first.server.name);
    }
    SUBCASE("waits for its only server when that has no room for a moment")
    {
        ForwardWorld other(settings());
        other.addServer("ledger", "s1", "a");
        const auto again = other.start(other.singleRoute("ledger", false));
        other.lose(other.sends().front().id, ServerRequestFailure::ConnectionRejected);
        CHECK(other.sends().empty());
        other.run(1s);
        REQUIRE(other.answerTo(again));
        CHECK(other.answerTo(again)->kind == ForwardAnswerKind::PassThrough);
    }
    SUBCASE("is called not run only when every server proved it")
    {
        for (int i = 0; i < 3; ++i)
            world.lose(world.sends().front().id, ServerRequestFailure::NotConnected);
        const auto* answer = world.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->kind == ForwardAnswerKind::NotRun);
    }
    SUBCASE("a server's own failure is passed through unchanged")
    {
        world.reply(first.id, ServerResponseKind::Failed);
        const auto* answer = world.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->kind == ForwardAnswerKind::PassThrough);
        CHECK(answer->message.status == 500);
    }
    SUBCASE("stays at its server when its caller leaves")
    {
        world.leave(number);
        CHECK(world.closedSends() == 0);
    }
}

TEST_CASE("a repeatable request runs on no more servers than its route allows" * doctest::test_suite("forward"))
{
    ForwardWorld world(settings());
    for (const auto* it : { "s1", "s2", "s3", "s4" })
        world.addServer("ledger", it, "a");
    const auto number = world.start(world.singleRoute("ledger", true));
    world.reply(world.sends().front().id, ServerResponseKind::Failed);
    REQUIRE(world.sends().size() == 1);
    world.lose(world.sends().front().id, ServerRequestFailure::Broken);
    CHECK(world.sends().empty());
    REQUIRE(world.answerTo(number));
    CHECK(world.answerTo(number)->kind == ForwardAnswerKind::PassThrough);
}

TEST_CASE("a server that leaves gets no new work" * doctest::test_suite("forward"))
{
    ForwardWorld world(settings());
    addShards(world, 1);
    world.removeServer("shard0-a");
    world.start(world.searchRoute(shards(1)));
    REQUIRE(world.sends().size() == 1);
    CHECK(world.sends().front().server.name == ServerName("shard0-b"));
}

TEST_CASE("a process that ends answers everything with what there is" * doctest::test_suite("forward"))
{
    ForwardWorld world(settings());
    addShards(world, 20);
    world.model("shard7-a").isSilent = true;
    const auto number = world.start(world.searchRoute(shards(20)));
    world.run(60ms);
    ForwardActions actions;
    world.engine().finishAll(world.now(), actions);
    REQUIRE_FALSE(actions.empty());
    CHECK(world.engine().inFlight() == 0);
    CHECK_FALSE(world.answerTo(number));
}

}
