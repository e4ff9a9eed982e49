#include "forward_test_bed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace lycheefield {

namespace {

constexpr int shardCount = 90;
constexpr int replicas = 3;
constexpr Duration searchInterval = 25ms;

std::string serverName(int shard, int replica)
{
    return "s" + std::to_string(shard) + "-" + std::to_string(replica);
}

/// Starts searches of all shards, each of its own content, and returns how many of them were not served in time.
std::size_t countFailed(ForwardTestBed& testBed, const Route& route, Duration length)
{
    std::vector<RequestNumber> numbers;
    for (Duration at {}; at < length; at += searchInterval) {
        testBed.setContent(Fingerprint(testBed.now().time_since_epoch().count()));
        numbers.push_back(testBed.start(route));
        testBed.run(searchInterval);
    }
    testBed.run(3s);
    return static_cast<std::size_t>(std::count_if(numbers.begin(), numbers.end(), [&](const auto& it) {
        const auto& outcome = testBed.outcomes().at(it);
        return outcome.answer.kind != ForwardAnswerKind::Search || outcome.took > route.targetLatency;
    }));
}

}

TEST_CASE("An engine that sends all legs itself serves searches while half of the servers lose responses by broken connections" * doctest::test_suite("forward"))
{
    for (const auto lost : { 0.05, 0.2 }) {
        CAPTURE(lost);
        ForwardTestBed testBed(settingsInZoneA());
        testBed.setServersSurvive(true);
        ServerModel model;
        model.work = 15ms;
        std::vector<std::string> shards;
        for (int i = 0; i < shardCount; ++i) {
            shards.push_back("s" + std::to_string(i));
            for (int k = 0; k < replicas; ++k)
                testBed.addServer(shards.back(), serverName(i, k), "a", model);
        }
        auto route = testBed.searchRoute(shards);
        route.targetLatency = 150ms;
        route.minCoverage = Share { 0.95 };
        CHECK(countFailed(testBed, route, 1s) == 0);
        for (int i = 0; i < shardCount * replicas; i += 2)
            testBed.model(serverName(i / replicas, i % replicas)).lostShare = lost;
        CHECK(countFailed(testBed, route, 4s) == 0);
    }
}

}
