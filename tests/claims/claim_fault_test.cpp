#include "claims/claim_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

/// Settings with one partition and two claims per head, so that the third claim seals a segment.
ClaimSettings smallHeads()
{
    ClaimSettings settings;
    settings.partitions = 1;
    settings.maxClaimsPerHead = 2;
    settings.batchWindow = 1ms;
    return settings;
}

/// Checks that, once the store works again, a new claim of each key is AlreadyDone if a request ran under the key, and
/// Granted otherwise. Precondition: no instance was restarted.
void checkSettled(ClaimTestBed& testBed, const std::vector<std::string>& keys, std::size_t instance)
{
    testBed.faultOf = [](std::size_t) { return CallFault::None; };
    testBed.store().setFaults({});
    testBed.run(5s);
    for (const auto& key : keys) {
        const auto last = testBed.claim(instance, key);
        testBed.run(1s);
        bool ran = false;
        for (std::size_t i = 0; i < last; ++i)
            ran = ran || (testBed.trackedClaims()[i].key == key && testBed.trackedClaims()[i].ran);
        CAPTURE(key);
        CHECK(testBed.verdict(last) == (ran ? ClaimVerdict::AlreadyDone : ClaimVerdict::Granted));
    }
}

void checkNoViolation(const ClaimTestBed& testBed)
{
    const auto found = testBed.violations();
    CHECK_MESSAGE(found.empty(), (found.empty() ? "" : found.front()));
    for (const auto& it : testBed.trackedClaims())
        CHECK(it.decisions == 1);
}

}

TEST_SUITE_BEGIN("claims");

TEST_CASE("At most one request runs per key, for every store fault at every store call of conflicting claims that seal a segment")
{
    const std::vector<std::string> keys = { "a", "b", "c", "d", "e" };
    const auto scenario = [&](ClaimTestBed& testBed) {
        std::size_t turn = 0;
        for (const auto& key : keys) {
            testBed.claim(turn % 2, key, 1, 200ms);
            testBed.claim((turn + 1) % 2, key, 1, 200ms);
            testBed.run(7ms);
            ++turn;
        }
        testBed.run(1s);
    };
    ClaimTestBed plain(2, smallHeads());
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
                ClaimTestBed testBed(2, smallHeads());
                testBed.faultOf = [=](std::size_t call) { return call >= step && call < step + length ? fault : CallFault::None; };
                scenario(testBed);
                checkSettled(testBed, keys, 0);
                checkNoViolation(testBed);
            }
        }
    }
}

TEST_CASE("At most one request runs per key, for every pair of store faults in a claim with and without a competing instance")
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
                        ClaimTestBed testBed(2, smallHeads());
                        testBed.faultOf = [=](std::size_t call) { return call == step ? one : call == next ? two
                                                                                                           : CallFault::None; };
                        for (std::size_t i = 0; i < callers; ++i)
                            testBed.claim(i, "a", 1, 50ms);
                        testBed.run(1s);
                        checkSettled(testBed, { "a" }, 1);
                        checkNoViolation(testBed);
                    }
                }
            }
        }
    }
}

TEST_CASE("At most one request runs per key when an instance is killed at any moment of a claim and the caller retries elsewhere")
{
    for (Duration moment {}; moment < 12ms; moment += 500us) {
        for (const bool isLate : { false, true }) {
            CAPTURE(moment.count());
            CAPTURE(isLate);
            ClaimTestBed testBed(2, smallHeads());
            if (isLate)
                testBed.faultOf = [](std::size_t call) { return call == 1 ? CallFault::AppliedLate : CallFault::None; };
            testBed.claim(0, "a");
            testBed.after(moment, [&] { testBed.restart(0); });
            testBed.after(moment + 1ms, [&] { testBed.claim(1, "a"); });
            testBed.after(moment + 100ms, [&] { testBed.claim(0, "a"); });
            testBed.run(5s);
            const auto found = testBed.violations();
            CHECK_MESSAGE(found.empty(), (found.empty() ? "" : found.front()));
            CHECK(testBed.trackedClaims()[1].decisions == 1);
            CHECK(testBed.trackedClaims()[2].decisions == 1);
        }
    }
}

TEST_CASE("At most one request runs per key when an instance pauses past every time-out at any moment of a claim")
{
    for (Duration moment {}; moment < 12ms; moment += 500us) {
        CAPTURE(moment.count());
        ClaimTestBed testBed(2, smallHeads());
        testBed.claim(0, "a", 1, 100ms);
        testBed.after(moment, [&] { testBed.pause(0, 10s); });
        testBed.after(moment + 1ms, [&] { testBed.claim(1, "a", 1, 100ms); });
        testBed.after(moment + 5s, [&] { testBed.claim(1, "a", 1, 100ms); });
        testBed.run(20s);
        checkSettled(testBed, { "a" }, 1);
        checkNoViolation(testBed);
    }
}

TEST_CASE("At most one request runs per key under random faults, pauses, restarts, refusals and repeated keys")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        SeededRandom random(seed);
        auto settings = smallHeads();
        settings.partitions = 1 + static_cast<std::uint32_t>(random.below(2));
        ClaimTestBed testBed(3, settings, seed);
        const double faultShare = 0.3 * random.unit();
        const bool hasRestarts = random.below(2) == 0;
        testBed.faultOf = [&](std::size_t) { return random.unit() < faultShare ? allCallFaults[random.below(std::size(allCallFaults))] : CallFault::None; };
        testBed.isRefused = [&](std::size_t) { return random.below(10) == 0; };
        for (int i = 0; i < 60; ++i) {
            const auto instance = random.below(3);
            testBed.claim(instance, std::string(1, static_cast<char>('a' + random.below(6))), 1 + random.below(10) / 9, 50ms);
            if (random.below(20) == 0)
                testBed.pause(random.below(3), Duration(random.below(200'000)));
            if (hasRestarts && random.below(20) == 0)
                testBed.restart(random.below(3));
            testBed.run(Duration(random.below(10'000)));
        }
        testBed.run(5s);
        const auto found = testBed.violations();
        CHECK_MESSAGE(found.empty(), (found.empty() ? "" : found.front()));
        for (std::size_t i = 0; i < 3; ++i)
            CHECK(testBed.engine(i).pending() == 0);
    }
}

TEST_SUITE_END();

}
