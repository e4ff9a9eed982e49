#include "forward_world.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

/// What the callers of one played load got.
struct LoadResult {
    int asked = 0;
    int inTime = 0;
    double credit = 0; ///< Share of the shards squared, of answers in time.
    std::size_t most = 0; ///< Arrivals at all servers.
};

constexpr int shardCount = 20;

std::string shardName(int i)
{
    return "shard" + std::to_string(i);
}

Route searchOf(const ForwardWorld& world)
{
    std::vector<std::string> names;
    for (int i = 0; i < shardCount; ++i)
        names.push_back(shardName(i));
    return world.searchRoute(names);
}

void addShards(ForwardWorld& world, Duration work)
{
    for (int i = 0; i < shardCount; ++i) {
        ServerModel model;
        model.work = work;
        world.addServer(shardName(i), shardName(i) + "-a", "a", model);
        world.addServer(shardName(i), shardName(i) + "-b", "b", model);
    }
}

/// Searches at a steady rate for that long.
LoadResult play(ForwardWorld& world, const Route& route, Duration period, Duration length)
{
    std::vector<RequestNumber> numbers;
    for (Duration at {}; at < length; at += period) {
        numbers.push_back(world.start(route));
        world.run(period);
    }
    world.run(4s);
    LoadResult result;
    result.asked = static_cast<int>(numbers.size());
    for (const auto& it : numbers) {
        REQUIRE(world.answerTo(it));
        const auto& outcome = world.outcomes().at(it);
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

// The load of the heaviest days: in some shards one of the two servers works ten times as long, so
// that such a shard serves less than is asked of it.
TEST_CASE("searches go on without the shards that can't keep up" * doctest::test_suite("forward"))
{
    ForwardWorld world(settings());
    addShards(world, 28ms);
    const auto route = searchOf(world);
    play(world, route, 20ms, 2s);
    for (int i = 0; i < 4; ++i)
        world.model(shardName(i) + "-b").work = 280ms;
    const auto result = play(world, route, 12ms, 6s);
    CAPTURE(result.credit / result.asked);
    CHECK(result.inTime >= 0.9 * result.asked);
    CHECK(result.credit >= 0.75 * result.asked);
    CHECK(world.engine().counters().shedLegs > 0);
}

TEST_CASE("at a load that all shards serve, nothing is left out" * doctest::test_suite("forward"))
{
    ForwardWorld world(settings());
    addShards(world, 28ms);
    const auto result = play(world, searchOf(world), 20ms, 4s);
    CHECK(result.inTime == result.asked);
    CHECK(result.credit == doctest::Approx(result.asked));
    CHECK(world.engine().counters().shedLegs == 0);
}

// A whole shard is dark: its legs must not cost the others anything.
TEST_CASE("a shard whose servers are silent costs searches only its own part" * doctest::test_suite("forward"))
{
    ForwardWorld world(settings());
    addShards(world, 20ms);
    const auto route = searchOf(world);
    play(world, route, 20ms, 1s);
    world.model("shard5-a").isSilent = true;
    world.model("shard5-b").isSilent = true;
    const auto result = play(world, route, 20ms, 4s);
    CHECK(result.inTime == result.asked);
    CHECK(result.credit >= 0.9 * result.asked);
}

// Every request goes to servers that refuse all: retries must stay within the fleet's budget.
TEST_CASE("retries stay within the budget when every server refuses" * doctest::test_suite("forward"))
{
    ForwardWorld world(settings());
    ServerModel full;
    full.slots = 0;
    full.queue = 0;
    full.tellsLoad = false;
    for (const auto* it : { "s1", "s2", "s3", "s4" })
        world.addServer("ledger", it, "a", full);
    const auto route = world.singleRoute("ledger", true);
    for (int i = 0; i < 200; ++i) {
        world.start(route, 1s);
        world.run(10ms);
    }
    std::size_t arrivals = 0;
    for (const auto* it : { "s1", "s2", "s3", "s4" })
        arrivals += world.arrivals(it);
    CHECK(arrivals <= 200 + 0.2 * 200 + 58);
}

}
