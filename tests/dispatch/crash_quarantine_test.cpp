#include "dispatch/relay_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

constexpr std::uint32_t shardCount = 6;
constexpr std::uint64_t poison = 666;
constexpr std::uint64_t harmless = 1;

std::string replica(std::uint64_t shard, std::uint64_t copy)
{
    return "s" + std::to_string(shard) + (copy == 0 ? "a" : "b");
}

/// Three relays and six shards of two replicas each; the poison is content that crashes every server that runs it.
class CrashTestBed : public RelayTestBed {
public:
    explicit CrashTestBed(std::uint64_t seed)
        : RelayTestBed(seed)
    {
        for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
            addServer({ replica(shard, 0), shard });
            addServer({ replica(shard, 1), shard });
        }
        for (const auto* it : { "i0", "i1", "i2" })
            addRelay(it);
        publishAll();
        setCrashingContent(poison);
        onResult = [this](const LegResult& result) {
            if (result.key.request.counter >= harmlessRequests)
                ++harmlessOutcomes[result.outcome];
        };
        runUntil(now() + 100ms);
    }

    void sendTo(const std::string& server, std::uint64_t fingerprint, std::uint64_t request = 0)
    {
        send(ownerOf(server), server, fingerprint, Priority::Desk, 300ms, request);
    }
    void sendHarmlessTo(const std::string& server) { sendTo(server, harmless, ++m_lastHarmless); }
    std::uint32_t crashCount() const
    {
        std::uint32_t n = 0;
        for (const auto& [name, times] : crashedServers)
            n += times;
        return n;
    }
    bool crashedBothReplicas() const
    {
        for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
            if (crashedServers.contains(replica(shard, 0)) && crashedServers.contains(replica(shard, 1)))
                return true;
        }
        return false;
    }
    std::map<LegOutcome, std::uint32_t> harmlessOutcomes;

private:
    static constexpr std::uint64_t harmlessRequests = 1'000'000;
    std::uint64_t m_lastHarmless = harmlessRequests;
};

constexpr std::uint64_t seeds = 30;

template <typename Scenario>
void forEachSeed(const Scenario& scenario)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        CrashTestBed testBed(seed);
        scenario(testBed);
        REQUIRE_MESSAGE(testBed.violations().empty(), testBed.violations().front());
    }
}

void sendSearch(CrashTestBed& testBed)
{
    for (std::uint32_t shard = 0; shard < shardCount; ++shard)
        testBed.sendTo(replica(shard, testBed.random().below(2)), poison);
    testBed.runUntil(testBed.now() + 100ms);
}

void sendPoisonAndHarmless(CrashTestBed& testBed, const std::string& server)
{
    testBed.sendTo(server, poison);
    testBed.sendHarmlessTo(server);
    testBed.runUntil(testBed.now() + 100ms);
}

}

TEST_CASE("The relays stop content that crashes servers" * doctest::test_suite("dispatch"))
{
    SUBCASE("A record that a caller keeps sending to random replicas of its shard crashes at most three servers")
    {
        forEachSeed([](CrashTestBed& testBed) {
            const auto shard = testBed.random().below(shardCount);
            for (int i = 0; i < 3000; ++i) {
                testBed.sendTo(replica(shard, testBed.random().below(2)), poison);
                testBed.runUntil(testBed.now() + 100ms);
            }
            CHECK(testBed.crashCount() <= 3);
            CHECK_FALSE(testBed.crashedBothReplicas());
        });
    }
    SUBCASE("A search that a caller keeps sending to every shard crashes at most two servers after the first search")
    {
        forEachSeed([](CrashTestBed& testBed) {
            sendSearch(testBed);
            const auto firstSearchCrashes = testBed.crashCount();
            CHECK(firstSearchCrashes == shardCount);
            for (int i = 0; i < 3000; ++i)
                sendSearch(testBed);
            CHECK(testBed.crashCount() <= firstSearchCrashes + 2);
            CHECK_FALSE(testBed.crashedBothReplicas());
        });
    }
}

TEST_CASE("The relays do not quarantine content that only ran beside content that crashed a server" * doctest::test_suite("dispatch"))
{
    SUBCASE("The relay does not suspect content that its servers answered before the crash")
    {
        forEachSeed([](CrashTestBed& testBed) {
            const auto server = replica(testBed.random().below(shardCount), 0);
            testBed.sendHarmlessTo(server);
            testBed.runUntil(testBed.now() + 100ms);
            sendPoisonAndHarmless(testBed, server);
            CHECK(testBed.harmlessOutcomes[LegOutcome::Lost] == 1);
            testBed.sendHarmlessTo(replica((testBed.random().below(shardCount)), 1));
            testBed.runUntil(testBed.now() + 100ms);
            CHECK(testBed.harmlessOutcomes[LegOutcome::Ok] == 2);
            CHECK(testBed.harmlessOutcomes[LegOutcome::Quarantined] == 0);
        });
    }
    SUBCASE("A restarted server answers content that ran beside the poison")
    {
        forEachSeed([](CrashTestBed& testBed) {
            const auto server = replica(testBed.random().below(shardCount), 0);
            sendPoisonAndHarmless(testBed, server);
            CHECK(testBed.harmlessOutcomes[LegOutcome::Lost] == 1);
            for (int i = 0; i < 100; ++i)
                sendPoisonAndHarmless(testBed, server);
            CHECK(testBed.harmlessOutcomes[LegOutcome::Ok] > 50);
            CHECK(testBed.crashCount() <= 3);
            CHECK_FALSE(testBed.crashedBothReplicas());
        });
    }
}

TEST_CASE("A machine that crashes does not put the content it ran in quarantine" * doctest::test_suite("dispatch"))
{
    const auto server = replica(0, 0);
    const auto crashWithHarmlessContent = [&](CrashTestBed& testBed) {
        testBed.sendHarmlessTo(server);
        testBed.runUntil(testBed.now() + 1ms);
        testBed.crash(server);
        testBed.runUntil(testBed.now() + 100ms);
        REQUIRE(testBed.harmlessOutcomes[LegOutcome::Lost] == 1);
    };
    SUBCASE("Servers of other shards answer the content while the machine is down")
    {
        forEachSeed([&](CrashTestBed& testBed) {
            crashWithHarmlessContent(testBed);
            for (int i = 0; i < 8; ++i) {
                for (std::uint32_t shard = 1; shard < shardCount; ++shard)
                    testBed.sendHarmlessTo(replica(shard, 0));
                testBed.runUntil(testBed.now() + 100ms);
            }
            CHECK(testBed.crashCount() == 1);
            CHECK(testBed.harmlessOutcomes[LegOutcome::Ok] > 0);
        });
    }
    SUBCASE("The restarted machine and its replica answer the content")
    {
        forEachSeed([&](CrashTestBed& testBed) {
            crashWithHarmlessContent(testBed);
            testBed.runUntil(testBed.now() + 2s);
            testBed.sendHarmlessTo(server);
            testBed.runUntil(testBed.now() + 1s);
            testBed.sendHarmlessTo(replica(0, 1));
            testBed.runUntil(testBed.now() + 1s);
            CHECK(testBed.harmlessOutcomes[LegOutcome::Ok] == 2);
        });
    }
}

}
