#include "dispatch/relay_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

constexpr std::uint32_t shardCount = 6;
constexpr std::uint64_t poison = 666;
constexpr std::uint64_t innocent = 1;

std::string replica(std::uint64_t shard, std::uint64_t copy)
{
    return "s" + std::to_string(shard) + (copy == 0 ? "a" : "b");
}

/// Three relays and six shards of two replicas, with a caller that sends the poison without end.
class CrashWorld : public RelayTestBed {
public:
    explicit CrashWorld(std::uint64_t seed)
        : RelayTestBed(seed)
    {
        for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
            addServer({ replica(shard, 0), shard });
            addServer({ replica(shard, 1), shard });
        }
        for (const auto* it : { "i0", "i1", "i2" })
            addRelay(it);
        publishAll();
        setPoison(poison);
        onResult = [this](const LegResult& result) {
            if (result.key.request.counter >= innocentRequests)
                ++innocentOutcomes[result.outcome];
        };
        runUntil(now() + 100ms);
    }

    void sendTo(const std::string& server, std::uint64_t fingerprint, std::uint64_t request = 0)
    {
        send(ownerOf(server), server, fingerprint, Priority::Desk, 300ms, request);
    }
    void sendInnocentTo(const std::string& server) { sendTo(server, innocent, ++m_lastInnocent); }
    std::uint32_t felledInAll() const
    {
        std::uint32_t n = 0;
        for (const auto& [name, times] : crashedServers)
            n += times;
        return n;
    }
    bool lostBothReplicas() const
    {
        for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
            if (crashedServers.contains(replica(shard, 0)) && crashedServers.contains(replica(shard, 1)))
                return true;
        }
        return false;
    }
    std::map<LegOutcome, std::uint32_t> innocentOutcomes;

private:
    static constexpr std::uint64_t innocentRequests = 1'000'000;
    std::uint64_t m_lastInnocent = innocentRequests;
};

constexpr std::uint64_t seeds = 30;

template <typename Story>
void forEachSeed(const Story& story)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        CrashWorld world(seed);
        story(world);
        REQUIRE_MESSAGE(world.violations().empty(), world.violations().front());
    }
}

void sendSearch(CrashWorld& world)
{
    for (std::uint32_t shard = 0; shard < shardCount; ++shard)
        world.sendTo(replica(shard, world.random().below(2)), poison);
    world.runUntil(world.now() + 100ms);
}

void sendBoth(CrashWorld& world, const std::string& server)
{
    world.sendTo(server, poison);
    world.sendInnocentTo(server);
    world.runUntil(world.now() + 100ms);
}

}

TEST_CASE("content that crashes servers is stopped" * doctest::test_suite("dispatch"))
{
    SUBCASE("a record that is sent again and again to any replica of its shard")
    {
        forEachSeed([](CrashWorld& world) {
            const auto shard = world.random().below(shardCount);
            for (int i = 0; i < 3000; ++i) {
                world.sendTo(replica(shard, world.random().below(2)), poison);
                world.runUntil(world.now() + 100ms);
            }
            CHECK(world.felledInAll() <= 3);
            CHECK_FALSE(world.lostBothReplicas());
        });
    }
    SUBCASE("a search that is sent again and again to every shard")
    {
        forEachSeed([](CrashWorld& world) {
            sendSearch(world);
            const auto firstWave = world.felledInAll();
            CHECK(firstWave == shardCount);
            for (int i = 0; i < 3000; ++i)
                sendSearch(world);
            CHECK(world.felledInAll() <= firstWave + 2);
            CHECK_FALSE(world.lostBothReplicas());
        });
    }
}

TEST_CASE("what ran beside content that crashed a server is not quarantined" * doctest::test_suite("dispatch"))
{
    SUBCASE("nor even suspected when the relay's servers answered it before")
    {
        forEachSeed([](CrashWorld& world) {
            const auto server = replica(world.random().below(shardCount), 0);
            world.sendInnocentTo(server);
            world.runUntil(world.now() + 100ms);
            sendBoth(world, server);
            CHECK(world.innocentOutcomes[LegOutcome::Lost] == 1);
            world.sendInnocentTo(replica((world.random().below(shardCount)), 1));
            world.runUntil(world.now() + 100ms);
            CHECK(world.innocentOutcomes[LegOutcome::Ok] == 2);
            CHECK(world.innocentOutcomes[LegOutcome::Quarantined] == 0);
        });
    }
    SUBCASE("it is answered again when its server is back")
    {
        forEachSeed([](CrashWorld& world) {
            const auto server = replica(world.random().below(shardCount), 0);
            sendBoth(world, server);
            CHECK(world.innocentOutcomes[LegOutcome::Lost] == 1);
            for (int i = 0; i < 100; ++i)
                sendBoth(world, server);
            CHECK(world.innocentOutcomes[LegOutcome::Ok] > 50);
            CHECK(world.felledInAll() <= 3);
            CHECK_FALSE(world.lostBothReplicas());
        });
    }
}

TEST_CASE("a machine that dies quarantines nobody" * doctest::test_suite("dispatch"))
{
    const auto server = replica(0, 0);
    const auto die = [&](CrashWorld& world) {
        world.sendInnocentTo(server);
        world.runUntil(world.now() + 1ms);
        world.crash(server);
        world.runUntil(world.now() + 100ms);
        REQUIRE(world.innocentOutcomes[LegOutcome::Lost] == 1);
    };
    SUBCASE("its content is answered by other shards while the machine is down")
    {
        forEachSeed([&](CrashWorld& world) {
            die(world);
            for (int i = 0; i < 8; ++i) {
                for (std::uint32_t shard = 1; shard < shardCount; ++shard)
                    world.sendInnocentTo(replica(shard, 0));
                world.runUntil(world.now() + 100ms);
            }
            CHECK(world.felledInAll() == 1);
            CHECK(world.innocentOutcomes[LegOutcome::Ok] > 0);
        });
    }
    SUBCASE("and by its own when it is back")
    {
        forEachSeed([&](CrashWorld& world) {
            die(world);
            world.runUntil(world.now() + 2s);
            world.sendInnocentTo(server);
            world.runUntil(world.now() + 1s);
            world.sendInnocentTo(replica(0, 1));
            world.runUntil(world.now() + 1s);
            CHECK(world.innocentOutcomes[LegOutcome::Ok] == 2);
        });
    }
}

}
