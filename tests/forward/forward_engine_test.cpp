#include "forward_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

std::vector<std::string> shards(int n)
{
    std::vector<std::string> names;
    for (int i = 0; i < n; ++i)
        names.push_back("shard" + std::to_string(i));
    return names;
}

/// The time to merge the parts of 20 shards on a full core.
constexpr Duration mergeTime = 100us;

void silenceShard3(ForwardTestBed& testBed)
{
    for (const auto* it : { "shard3-a", "shard3-b" })
        testBed.model(it).isSilent = true;
}

/// Adds two servers per shard, one in each zone.
void addShards(ForwardTestBed& testBed, int n)
{
    for (const auto& it : shards(n)) {
        testBed.addServer(it, it + "-a", "a");
        testBed.addServer(it, it + "-b", "b");
    }
}

}

// Callers in another network open a connection for each request: two round trips pass before a response has reached them.
TEST_CASE("The time on the network counts against the target latency" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    addShards(testBed, 20);
    const auto route = testBed.searchRoute(shards(20));
    silenceShard3(testBed);

    SUBCASE("A search without all parts is answered earlier by that time")
    {
        testBed.setNetworkTime(20ms);
        const auto number = testBed.start(route);
        testBed.run(300ms);
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.outcomes().at(number).took == route.targetLatency - settingsInZoneA().answerMargin - mergeTime - 20ms);
    }
    SUBCASE("A caller that is further away than that leaves most of the target latency to the search")
    {
        testBed.setNetworkTime(route.targetLatency);
        const auto number = testBed.start(route);
        testBed.run(300ms);
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.outcomes().at(number).took >= route.targetLatency / 2);
    }
}

// A slow processor would write the answer of a search over many shards after the target latency.
TEST_CASE("A slower instance begins earlier to merge the parts of a search" * doctest::test_suite("forward"))
{
    auto slow = settingsInZoneA();
    slow.cores = Share { 0.1 };
    ForwardTestBed testBed(slow);
    addShards(testBed, 20);
    const auto route = testBed.searchRoute(shards(20));
    silenceShard3(testBed);
    const auto number = testBed.start(route);
    testBed.run(300ms);
    REQUIRE(testBed.answerTo(number));
    CHECK(testBed.outcomes().at(number).took == route.targetLatency - slow.answerMargin - 10 * mergeTime);
}

TEST_CASE("However slow the instance, most of the target latency is left to the servers" * doctest::test_suite("forward"))
{
    auto slow = settingsInZoneA();
    slow.cores = Share { 0.001 };
    ForwardTestBed testBed(slow);
    addShards(testBed, 20);
    const auto route = testBed.searchRoute(shards(20));
    testBed.setNetworkTime(route.targetLatency);
    const auto number = testBed.start(route);
    testBed.run(300ms);
    REQUIRE(testBed.answerTo(number));
    CHECK(testBed.answerTo(number)->missingShards == 0);
}

// An urgent search of distant callers: a hedge at a share of the whole target latency would come too late to be of use.
TEST_CASE("A hedge is sent early enough for the second server to answer in time" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    addShards(testBed, 20);
    auto route = testBed.searchRoute(shards(20));
    route.targetLatency = 100ms;
    testBed.model("shard3-a").isSilent = true;
    testBed.setNetworkTime(25ms);
    const auto number = testBed.start(route);
    testBed.run(100ms);
    REQUIRE(testBed.answerTo(number));
    CHECK(testBed.answerTo(number)->missingShards == 0);
    CHECK(testBed.outcomes().at(number).took <= route.targetLatency - 25ms);
}

TEST_CASE("A search sends one leg to every shard" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    addShards(testBed, 20);
    const auto route = testBed.searchRoute(shards(20));
    const auto number = testBed.start(route);
    CHECK(testBed.serverRequests().size() == 20);
    for (const auto& it : testBed.serverRequests())
        CHECK(it.server.zone == ZoneName("a"));

    SUBCASE("The search is answered completely when all parts have arrived")
    {
        testBed.run(50ms);
        const auto* answer = testBed.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->kind == ForwardAnswerKind::Search);
        CHECK(answer->missingShards == 0);
        CHECK(answer->signatures.size() == 20);
        CHECK(answer->message.body.size() == 5 * 16);
    }
    SUBCASE("A late leg is hedged to the other replica, and its part counts once")
    {
        testBed.model("shard3-a").isSilent = true;
        testBed.run(190ms);
        const auto* answer = testBed.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->missingShards == 0);
        CHECK(testBed.arrivals("shard3-b") == 1);
        CHECK(testBed.engine().counters().hedges == 1);
    }
    SUBCASE("Just before the target latency the search is answered with the parts received if they cover enough shards")
    {
        for (const auto* it : { "shard3-a", "shard3-b", "shard4-a", "shard4-b" })
            testBed.model(it).isSilent = true;
        testBed.run(200ms);
        const auto* answer = testBed.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->missingShards == 2);
        CHECK(answer->signatures.size() == 18);
        CHECK(testBed.outcomes().at(number).took == route.targetLatency - settingsInZoneA().answerMargin - mergeTime);
    }
    SUBCASE("With too few parts the search waits past the target latency and is answered as soon as enough have arrived")
    {
        for (const auto* it : { "shard3-a", "shard3-b", "shard4-a", "shard4-b", "shard5-a", "shard5-b" })
            testBed.model(it).isSilent = true;
        testBed.run(400ms);
        CHECK_FALSE(testBed.answerTo(number));
        for (const auto& it : testBed.serverRequests()) {
            if (it.server.name == ServerName("shard3-a"))
                testBed.respond(it.id, ServerResponseKind::Served);
        }
        const auto* answer = testBed.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->missingShards == 2);
    }
    SUBCASE("A search without enough parts just before its deadline is answered as timed out, not as not run")
    {
        for (const auto* it : { "shard3-a", "shard3-b", "shard4-a", "shard4-b", "shard5-a", "shard5-b" })
            testBed.model(it).isSilent = true;
        testBed.run(4s);
        const auto* answer = testBed.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->kind == ForwardAnswerKind::TimedOut);
        CHECK(testBed.outcomes().at(number).took < route.timeout);
        CHECK(testBed.outcomes().at(number).took > route.timeout - 50ms);
    }
    SUBCASE("The engine cancels all server requests of a disconnected caller's search")
    {
        testBed.run(5ms);
        testBed.disconnect(number);
        CHECK(testBed.cancelledRequests() == 20);
        CHECK(testBed.serverRequests().empty());
        testBed.run(1s);
        CHECK(testBed.outcomes().empty());
    }
}

TEST_CASE("The engine refuses a search that can't cover enough shards at once, as not run" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    addShards(testBed, 10);
    const auto number = testBed.start(testBed.searchRoute(shards(20)));
    const auto* answer = testBed.answerTo(number);
    REQUIRE(answer);
    CHECK(answer->kind == ForwardAnswerKind::NotRun);
    CHECK(answer->retryAfter > Duration {});
    CHECK(testBed.serverRequests().empty());
}

TEST_CASE("The engine sends a non-idempotent request to one server at first" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    for (const auto* it : { "s1", "s2", "s3" })
        testBed.addServer("ledger", it, "a");
    const auto number = testBed.start(testBed.singleRoute("ledger", false));
    REQUIRE(testBed.serverRequests().size() == 1);
    const auto first = testBed.serverRequests().front();

    SUBCASE("A non-idempotent request is not retried while its server is silent")
    {
        testBed.model(first.server.name.value()).isSilent = true;
        testBed.run(2500ms);
        CHECK(testBed.serverRequests().size() == 1);
        CHECK_FALSE(testBed.answerTo(number));
    }
    SUBCASE("A non-idempotent request whose connection broke is not retried and is answered as failed")
    {
        testBed.failServerRequest(first.id, ServerRequestFailure::Broken);
        const auto* answer = testBed.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->kind == ForwardAnswerKind::Failed);
        CHECK(testBed.serverRequests().empty());
    }
    SUBCASE("A non-idempotent request is retried on another server after proof that it did not run")
    {
        for (const auto failure : { ServerRequestFailure::NotConnected, ServerRequestFailure::ConnectionRejected }) {
            CAPTURE(toString(failure));
            ForwardTestBed other(settingsInZoneA());
            for (const auto* it : { "s1", "s2" })
                other.addServer("ledger", it, "a");
            const auto again = other.start(other.singleRoute("ledger", false));
            other.failServerRequest(other.serverRequests().front().id, failure);
            REQUIRE(other.serverRequests().size() == 1);
            other.run(1s);
            REQUIRE(other.answerTo(again));
            CHECK(other.answerTo(again)->kind == ForwardAnswerKind::PassThrough);
        }
        testBed.respond(first.id, ServerResponseKind::WrongServer);
        REQUIRE(testBed.serverRequests().size() == 1);
        CHECK(testBed.serverRequests().front().server.name != first.server.name);
    }
    SUBCASE("A non-idempotent request waits for its only server while that server is full")
    {
        ForwardTestBed other(settingsInZoneA());
        other.addServer("ledger", "s1", "a");
        const auto again = other.start(other.singleRoute("ledger", false));
        other.failServerRequest(other.serverRequests().front().id, ServerRequestFailure::ConnectionRejected);
        CHECK(other.serverRequests().empty());
        other.run(1s);
        REQUIRE(other.answerTo(again));
        CHECK(other.answerTo(again)->kind == ForwardAnswerKind::PassThrough);
    }
    SUBCASE("A non-idempotent request is answered as not run after every server proved that it did not run")
    {
        for (int i = 0; i < 3; ++i)
            testBed.failServerRequest(testBed.serverRequests().front().id, ServerRequestFailure::NotConnected);
        const auto* answer = testBed.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->kind == ForwardAnswerKind::NotRun);
    }
    SUBCASE("A server's failure response is passed through unchanged")
    {
        testBed.respond(first.id, ServerResponseKind::Failed);
        const auto* answer = testBed.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->kind == ForwardAnswerKind::PassThrough);
        CHECK(answer->message.status == 500);
    }
    SUBCASE("A non-idempotent request is not cancelled when its caller disconnects")
    {
        testBed.disconnect(number);
        CHECK(testBed.cancelledRequests() == 0);
    }
}

TEST_CASE("An idempotent request runs on no more servers than its route allows" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    for (const auto* it : { "s1", "s2", "s3", "s4" })
        testBed.addServer("ledger", it, "a");
    const auto number = testBed.start(testBed.singleRoute("ledger", true));
    testBed.respond(testBed.serverRequests().front().id, ServerResponseKind::Failed);
    REQUIRE(testBed.serverRequests().size() == 1);
    testBed.failServerRequest(testBed.serverRequests().front().id, ServerRequestFailure::Broken);
    CHECK(testBed.serverRequests().empty());
    REQUIRE(testBed.answerTo(number));
    CHECK(testBed.answerTo(number)->kind == ForwardAnswerKind::PassThrough);
}

TEST_CASE("A removed server gets no new work" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    addShards(testBed, 1);
    testBed.removeServer("shard0-a");
    testBed.start(testBed.searchRoute(shards(1)));
    REQUIRE(testBed.serverRequests().size() == 1);
    CHECK(testBed.serverRequests().front().server.name == ServerName("shard0-b"));
}

TEST_CASE("The engine answers every request when the process ends" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    addShards(testBed, 20);
    testBed.model("shard7-a").isSilent = true;
    const auto number = testBed.start(testBed.searchRoute(shards(20)));
    testBed.run(60ms);
    ForwardActions actions;
    testBed.engine().finishAll(testBed.now(), actions);
    REQUIRE_FALSE(actions.empty());
    CHECK(testBed.engine().inFlight() == 0);
    CHECK_FALSE(testBed.answerTo(number));
}

}
