#include "forward_test_bed.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace lycheefield {

namespace {

constexpr int shardCount = 90;
constexpr int replicas = 3;

struct SearchResult {
    int requests = 0;
    int served = 0;
    int inTime = 0;
    std::map<std::string, int> reasons;
};

std::string serverName(int shard, int replica)
{
    return "s" + std::to_string(shard) + "-" + std::to_string(replica);
}

/// Searches of all shards at 40 a second, each of its own content.
SearchResult search(ForwardTestBed& testBed, const Route& route, Duration length)
{
    std::vector<RequestNumber> numbers;
    static std::uint64_t content = 100;
    for (Duration at {}; at < length; at += 25ms) {
        testBed.setContent(Fingerprint(++content));
        numbers.push_back(testBed.start(route, 2s));
        testBed.run(25ms);
    }
    testBed.run(3s);
    SearchResult result;
    for (const auto& it : numbers) {
        const auto& outcome = testBed.outcomes().at(it);
        const bool isServed = outcome.answer.kind == ForwardAnswerKind::Search;
        ++result.requests;
        result.served += isServed ? 1 : 0;
        result.inTime += isServed && outcome.took <= route.targetLatency ? 1 : 0;
        ++result.reasons[outcome.answer.reason + " " + std::to_string(outcome.took.count() / 20000 * 20) + "ms"];
    }
    return result;
}

}

TEST_CASE("Searches are served while many servers lose responses by broken connections" * doctest::test_suite("forward"))
{
    for (const auto lost : { 0.05, 0.1, 0.2 }) {
        ForwardTestBed testBed(settingsInZoneA());
        testBed.setServersSurvive(true);
        std::vector<std::string> shards;
        for (int i = 0; i < shardCount; ++i) {
            shards.push_back("s" + std::to_string(i));
            for (int k = 0; k < replicas; ++k) {
                ServerModel model;
                model.work = 15ms;
                testBed.addServer(shards.back(), serverName(i, k), "a", model);
            }
        }
        auto route = testBed.searchRoute(shards);
        route.targetLatency = 150ms;
        route.minCoverage = Share { 0.95 };
        search(testBed, route, 1s);
        for (int i = 0; i < shardCount * replicas; i += 2)
            testBed.model(serverName(i / replicas, i % replicas)).lostShare = lost;
        const auto result = search(testBed, route, 4s);
        CAPTURE(lost);
        std::string reasons;
        for (const auto& [reason, count] : result.reasons)
            reasons += reason + ": " + std::to_string(count) + "; ";
        CAPTURE(reasons);
        CAPTURE(result.served);
        CHECK(result.inTime == result.requests);
    }
}

}
