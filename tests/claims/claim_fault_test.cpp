#include "claims/claim_world.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

/// Heads of two claims, so that the third claim of a run seals a segment.
ClaimSettings smallHeads()
{
    ClaimSettings settings;
    settings.partitions = 1;
    settings.maxClaimsPerHead = 2;
    settings.batchWindow = 1ms;
    return settings;
}

/// Once the store works again, a key that never ran and whose instances live can be claimed.
void checkSettled(ClaimWorld& world, const std::vector<std::string>& keys, std::size_t instance)
{
    world.faultOf = [](std::size_t) { return CallFault::None; };
    world.store().setFaults({});
    world.run(5s);
    for (const auto& key : keys) {
        const auto last = world.claim(instance, key);
        world.run(1s);
        bool ran = false;
        for (std::size_t i = 0; i < last; ++i)
            ran = ran || (world.attempts()[i].key == key && world.attempts()[i].ran);
        CAPTURE(key);
        CHECK(world.verdict(last) == (ran ? ClaimVerdict::AlreadyDone : ClaimVerdict::Granted));
    }
}

void checkNoViolation(const ClaimWorld& world)
{
    const auto found = world.violations();
    CHECK_MESSAGE(found.empty(), (found.empty() ? "" : found.front()));
    for (const auto& it : world.attempts())
        CHECK(it.decisions == 1);
}

}

TEST_SUITE_BEGIN("claims");

TEST_CASE("Every fault at every call of a claim, its conflict and a seal")
{
    const std::vector<std::string> keys = { "a", "b", "c", "d", "e" };
    const auto scenario = [&](ClaimWorld& world) {
        std::size_t turn = 0;
        for (const auto& key : keys) {
            world.claim(turn % 2, key, 1, 200ms);
            world.claim((turn + 1) % 2, key, 1, 200ms);
            world.run(7ms);
            ++turn;
        }
        world.run(1s);
    };
    ClaimWorld plain(2, smallHeads());
    scenario(plain);
    REQUIRE(plain.engine(0).counters().segmentsSealed + plain.engine(1).counters().segmentsSealed > 0);
    const auto calls = plain.storeCalls();
    REQUIRE(calls > 10);

    for (std::size_t step = 0; step < calls; ++step) {
        for (const auto fault : allCallFaults) {
            for (const std::size_t length : { 1, 2, 5 }) {
                CAPTURE(step);
                CAPTURE(static_cast<int>(fault));
                CAPTURE(length);
                ClaimWorld world(2, smallHeads());
                world.faultOf = [=](std::size_t call) { return call >= step && call < step + length ? fault : CallFault::None; };
                scenario(world);
                checkSettled(world, keys, 0);
                checkNoViolation(world);
            }
        }
    }
}

TEST_CASE("Every pair of faults in one claim, alone and against another instance")
{
    for (const std::size_t callers : { 1, 2 }) {
        for (std::size_t step = 0; step < 6; ++step) {
            for (std::size_t next = step + 1; next < step + 4; ++next) {
                for (const auto one : allCallFaults) {
                    for (const auto two : allCallFaults) {
                        CAPTURE(callers);
                        CAPTURE(step);
                        CAPTURE(next);
                        CAPTURE(static_cast<int>(one));
                        CAPTURE(static_cast<int>(two));
                        ClaimWorld world(2, smallHeads());
                        world.faultOf = [=](std::size_t call) { return call == step ? one : call == next ? two
                                                                                                         : CallFault::None; };
                        for (std::size_t i = 0; i < callers; ++i)
                            world.claim(i, "a", 1, 50ms);
                        world.run(1s);
                        checkSettled(world, { "a" }, 1);
                        checkNoViolation(world);
                    }
                }
            }
        }
    }
}

TEST_CASE("An instance stops hard at every moment of a claim, and the caller asks another")
{
    for (Duration moment {}; moment < 12ms; moment += 500us) {
        for (const bool isLate : { false, true }) {
            CAPTURE(moment.count());
            CAPTURE(isLate);
            ClaimWorld world(2, smallHeads());
            if (isLate)
                world.faultOf = [](std::size_t call) { return call == 1 ? CallFault::LandsLate : CallFault::None; };
            world.claim(0, "a");
            world.after(moment, [&] { world.restart(0); });
            world.after(moment + 1ms, [&] { world.claim(1, "a"); });
            world.after(moment + 100ms, [&] { world.claim(0, "a"); });
            world.run(5s);
            const auto found = world.violations();
            CHECK_MESSAGE(found.empty(), (found.empty() ? "" : found.front()));
            CHECK(world.attempts()[1].decisions == 1);
            CHECK(world.attempts()[2].decisions == 1);
        }
    }
}

TEST_CASE("An instance pauses at every moment of a claim, past every timeout")
{
    for (Duration moment {}; moment < 12ms; moment += 500us) {
        CAPTURE(moment.count());
        ClaimWorld world(2, smallHeads());
        world.claim(0, "a", 1, 100ms);
        world.after(moment, [&] { world.pause(0, 10s); });
        world.after(moment + 1ms, [&] { world.claim(1, "a", 1, 100ms); });
        world.after(moment + 5s, [&] { world.claim(1, "a", 1, 100ms); });
        world.run(20s);
        checkSettled(world, { "a" }, 1);
        checkNoViolation(world);
    }
}

TEST_CASE("Random faults, pauses, restarts, refusals and repeated keys")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        SeededRandom random(seed);
        auto settings = smallHeads();
        settings.partitions = 1 + static_cast<std::uint32_t>(random.below(2));
        ClaimWorld world(3, settings, seed);
        const double faultShare = 0.3 * random.unit();
        const bool hasRestarts = random.below(2) == 0;
        world.faultOf = [&](std::size_t) { return random.unit() < faultShare ? allCallFaults[random.below(std::size(allCallFaults))] : CallFault::None; };
        world.isRefused = [&](std::size_t) { return random.below(10) == 0; };
        for (int i = 0; i < 60; ++i) {
            const auto instance = random.below(3);
            world.claim(instance, std::string(1, static_cast<char>('a' + random.below(6))), 1 + random.below(10) / 9, 50ms);
            if (random.below(20) == 0)
                world.pause(random.below(3), Duration(random.below(200'000)));
            if (hasRestarts && random.below(20) == 0)
                world.restart(random.below(3));
            world.run(Duration(random.below(10'000)));
        }
        world.run(5s);
        const auto found = world.violations();
        CHECK_MESSAGE(found.empty(), (found.empty() ? "" : found.front()));
        for (std::size_t i = 0; i < 3; ++i)
            CHECK(world.engine(i).pending() == 0);
    }
}

TEST_SUITE_END();

}
