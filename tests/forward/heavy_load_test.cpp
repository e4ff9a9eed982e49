#include "forward_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

/// The answers to the callers of one load.
struct LoadResult {
    int requests = 0;
    int inTime = 0;
    double credit = 0; ///< Sum of the squared coverage of the answers in time.
    std::size_t arrivals = 0; ///< Attempts that reached a server.
};

constexpr int shardCount = 20;

std::string shardName(int i)
{
    return "shard" + std::to_string(i);
}

Route searchOf(const ForwardTestBed& testBed)
{
    std::vector<std::string> names;
    for (int i = 0; i < shardCount; ++i)
        names.push_back(shardName(i));
    return testBed.searchRoute(names);
}

void addShards(ForwardTestBed& testBed, Duration work)
{
    for (int i = 0; i < shardCount; ++i) {
        ServerModel model;
        model.work = work;
        testBed.addServer(shardName(i), shardName(i) + "-a", "a", model);
        testBed.addServer(shardName(i), shardName(i) + "-b", "b", model);
    }
}

/// Starts searches at a steady rate for the given time and collects their answers.
LoadResult runLoad(ForwardTestBed& testBed, const Route& route, Duration period, Duration length)
{
    std::vector<RequestNumber> numbers;
    for (Duration at {}; at < length; at += period) {
        numbers.push_back(testBed.start(route));
        testBed.run(period);
    }
    testBed.run(4s);
    LoadResult result;
    result.requests = static_cast<int>(numbers.size());
    for (const auto& it : numbers) {
        REQUIRE(testBed.answerTo(it));
        const auto& outcome = testBed.outcomes().at(it);
        if (outcome.answer.kind != ForwardAnswerKind::Search || outcome.took > route.targetLatency)
            continue;
        ++result.inTime;
        const auto covered = 1 - static_cast<double>(outcome.answer.missingShards) / shardCount;
        result.credit += covered * covered;
    }
    return result;
}

ForwardSettings settings()
{
    ForwardSettings settings;
    settings.zone = ZoneName("a");
    settings.retrySlack = 58;
    return settings;
}

}

// Overload as on the busiest days: in some shards one of the two servers takes ten times as long, so
// that the shard's capacity is below the load.
TEST_CASE("The engine sheds legs of overloaded shards, so that searches are answered in time" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settings());
    addShards(testBed, 28ms);
    const auto route = searchOf(testBed);
    runLoad(testBed, route, 20ms, 2s);
    for (int i = 0; i < 4; ++i)
        testBed.model(shardName(i) + "-b").work = 280ms;
    const auto result = runLoad(testBed, route, 12ms, 6s);
    CAPTURE(result.credit / result.requests);
    CHECK(result.inTime >= 0.9 * result.requests);
    CHECK(result.credit >= 0.75 * result.requests);
    CHECK(testBed.engine().counters().shedLegs > 0);
}

TEST_CASE("The engine sheds no leg at a load that all shards can serve" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settings());
    addShards(testBed, 28ms);
    const auto result = runLoad(testBed, searchOf(testBed), 20ms, 4s);
    CHECK(result.inTime == result.requests);
    CHECK(result.credit == doctest::Approx(result.requests));
    CHECK(testBed.engine().counters().shedLegs == 0);
}

// All servers of one shard are silent. The shard's legs must not delay or displace the legs of other shards.
TEST_CASE("A search is answered in time and lacks only the part of the shard whose servers are silent" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settings());
    addShards(testBed, 20ms);
    const auto route = searchOf(testBed);
    runLoad(testBed, route, 20ms, 1s);
    testBed.model("shard5-a").isSilent = true;
    testBed.model("shard5-b").isSilent = true;
    const auto result = runLoad(testBed, route, 20ms, 4s);
    CHECK(result.inTime == result.requests);
    CHECK(result.credit >= 0.9 * result.requests);
}

// Urgent searches of callers in another network, just after an instance has started and knows no latencies yet, while
// servers pause: a part is in time only if its hedge is sent while the second server can still answer.
TEST_CASE("Distant callers get every part from an instance that has just started although servers pause" * doctest::test_suite("forward"))
{
    constexpr Duration networkTime = 25ms;
    constexpr Duration period = 5ms;
    LoadResult result;
    for (int i = 0; i < shardCount; ++i) {
        ForwardTestBed testBed(settings());
        addShards(testBed, 20ms);
        auto route = searchOf(testBed);
        route.targetLatency = 100ms;
        testBed.setNetworkTime(networkTime);
        for (const auto shard : { i, (i + shardCount / 2) % shardCount })
            testBed.model(shardName(shard) + "-a").work = 150ms;
        const auto load = runLoad(testBed, route, period, 2 * period);
        for (const auto& [number, outcome] : testBed.outcomes())
            CHECK(outcome.took + networkTime <= route.targetLatency);
        result.requests += load.requests;
        result.credit += load.credit;
    }
    CAPTURE(result.credit / result.requests);
    CHECK(result.credit >= 0.99 * result.requests);
}

// Without a budget, servers that refuse every request would cause a retry of each request.
TEST_CASE("Retries stay within the budget when every server refuses all requests" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settings());
    ServerModel full;
    full.slots = 0;
    full.queue = 0;
    full.reportsLoad = false;
    for (const auto* it : { "s1", "s2", "s3", "s4" })
        testBed.addServer("ledger", it, "a", full);
    const auto route = testBed.singleRoute("ledger", true);
    for (int i = 0; i < 200; ++i) {
        testBed.start(route, 1s);
        testBed.run(10ms);
    }
    std::size_t arrivals = 0;
    for (const auto* it : { "s1", "s2", "s3", "s4" })
        arrivals += testBed.arrivals(it);
    CHECK(arrivals <= 200 + 0.2 * 200 + 58);
}

}
