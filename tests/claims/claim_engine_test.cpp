#include "claims/claim_world.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

ClaimSettings onePartition()
{
    ClaimSettings settings;
    settings.partitions = 1;
    settings.batchWindow = 5ms;
    return settings;
}

}

TEST_SUITE_BEGIN("claims");

TEST_CASE("A key is claimed once")
{
    ClaimWorld world(3, onePartition());
    const auto first = world.claim(0, "order-1");
    world.run(2s);
    REQUIRE(world.verdict(first) == ClaimVerdict::Granted);

    SUBCASE("and who asks again elsewhere gets the recorded outcome")
    {
        const auto again = world.claim(1, "order-1");
        world.run(2s);
        CHECK(world.verdict(again) == ClaimVerdict::AlreadyDone);
        CHECK((world.attempts()[again].decided->recordedState == RunState::Ran));
    }
    SUBCASE("and other content under it is told apart")
    {
        const auto other = world.claim(1, "order-1", 2);
        world.run(2s);
        CHECK(world.verdict(other) == ClaimVerdict::DifferentContent);
    }
    SUBCASE("and another key is free")
    {
        const auto other = world.claim(1, "order-2");
        world.run(2s);
        CHECK(world.verdict(other) == ClaimVerdict::Granted);
    }
    SUBCASE("and a restarted instance takes its predecessor's claim for another's")
    {
        const auto unfinished = world.claim(2, "order-3");
        world.run(4ms);
        REQUIRE(world.verdict(unfinished) == ClaimVerdict::Granted);
        world.restart(2);
        const auto again = world.claim(2, "order-3");
        world.run(2s);
        CHECK(world.verdict(again) == ClaimVerdict::InProgress);
    }
    CHECK(world.violations().empty());
}

TEST_CASE("Two instances claim one key at the same moment")
{
    ClaimWorld world(2, onePartition());
    const auto one = world.claim(0, "order-1");
    const auto two = world.claim(1, "order-1");
    world.run(2s);
    const bool isOneGranted = world.verdict(one) == ClaimVerdict::Granted;
    const bool isTwoGranted = world.verdict(two) == ClaimVerdict::Granted;
    CHECK(isOneGranted != isTwoGranted);
    CHECK(world.violations().empty());
}

TEST_CASE("Claims that come together share a write")
{
    ClaimWorld world(1, onePartition());
    world.claim(0, "first");
    world.run(3ms); // The head was read, and the first write is under way.
    for (int i = 0; i < 100; ++i)
        world.claim(0, "order-" + std::to_string(i));
    world.run(20ms);
    const auto counters = world.engine(0).counters();
    CHECK(counters.granted == 101);
    CHECK(counters.storeWrites == 2);
    SUBCASE("and so do their outcomes")
    {
        world.run(2s);
        CHECK(world.engine(0).counters().storeWrites <= 4);
        CHECK(world.engine(0).pending() == 0);
    }
}

TEST_CASE("Two claims of one key in one batch")
{
    ClaimWorld world(1, onePartition());
    world.claim(0, "first");
    world.run(1ms);
    const auto one = world.claim(0, "order-1");
    const auto two = world.claim(0, "order-1");
    world.run(2s);
    CHECK(world.verdict(one) == ClaimVerdict::Granted);
    CHECK(world.verdict(two) == ClaimVerdict::InProgress);
    CHECK(world.violations().empty());
}

TEST_CASE("A granted request that was refused frees its key")
{
    ClaimWorld world(2, onePartition());
    world.isRefused = [](std::size_t attempt) { return attempt == 0; };
    world.claim(0, "order-1");
    world.run(2s);
    const auto again = world.claim(1, "order-1", 2);
    world.run(2s);
    CHECK(world.verdict(again) == ClaimVerdict::Granted);
    CHECK(world.violations().empty());
}

TEST_CASE("A release and the next claim of the key share a write")
{
    ClaimWorld world(1, onePartition());
    world.isRefused = [](std::size_t attempt) { return attempt == 0; };
    world.claim(0, "order-1");
    world.run(6ms); // Granted and refused; the release waits for the next write.
    REQUIRE(world.engine(0).pending() == 1);
    const auto again = world.claim(0, "order-1", 2);
    world.run(4ms);
    CHECK(world.verdict(again) == ClaimVerdict::Granted);
    CHECK(world.engine(0).counters().storeWrites == 2);
}

TEST_CASE("The store is down")
{
    ClaimWorld world(1, onePartition());
    standin::PlatformFaults faults;
    faults.outage = true;
    world.store().setFaults(faults);
    const auto first = world.claim(0, "order-1", 1, 10s);
    world.run(3ms);
    SUBCASE("and a claim is refused at once, not at its deadline")
    {
        CHECK(world.verdict(first) == ClaimVerdict::StoreUnavailable);
    }
    SUBCASE("and the store is not asked for every claim")
    {
        for (int i = 0; i < 1000; ++i)
            world.claim(0, "order-1", 1, 10s);
        world.run(5ms);
        CHECK(world.engine(0).counters().storeUnavailable == 1001);
        CHECK(world.storeCalls() == 1);
    }
    SUBCASE("and once it is back the key can be claimed")
    {
        world.store().setFaults({});
        world.run(1s);
        const auto again = world.claim(0, "order-1");
        world.run(1s);
        CHECK(world.verdict(again) == ClaimVerdict::Granted);
    }
    CHECK(world.violations().empty());
}

TEST_CASE("A slow store: the claim ends at its deadline and its key is free later")
{
    ClaimWorld world(1, onePartition());
    world.callTime = 40ms;
    const auto first = world.claim(0, "order-1", 1, 100ms);
    world.run(99ms);
    CHECK_FALSE(world.verdict(first));
    world.run(1ms);
    CHECK(world.verdict(first) == ClaimVerdict::StoreUnavailable);
    world.run(1s);
    const auto again = world.claim(0, "order-1");
    world.run(1s);
    CHECK(world.verdict(again) == ClaimVerdict::Granted);
    CHECK(world.violations().empty());
}

TEST_CASE("An adopted claim is settled here")
{
    ClaimWorld world(2, onePartition());
    world.isRefused = [](std::size_t) { return true; };
    world.runTime = 1h;
    const auto first = world.claim(0, "order-1");
    world.run(4ms);
    REQUIRE(world.verdict(first) == ClaimVerdict::Granted);
    const auto& attempt = world.attempts()[first];
    ClaimActions actions;
    world.engine(1).adopt({ attempt.request, IdempotencyKey(attempt.key), attempt.fingerprint, world.now() + 1s });
    world.engine(1).release(attempt.request, world.now(), actions);
    CHECK(world.engine(1).pending() == 1);
    CHECK(actions.size() == 1);
}

TEST_CASE("Keys too long and queues too full are refused, not run")
{
    auto settings = onePartition();
    settings.maxKey = ByteCount { 8 };
    settings.maxWaitingPerPartition = 2;
    ClaimWorld world(1, settings);
    const auto longKey = world.claim(0, "more than eight");
    world.claim(0, "a");
    world.claim(0, "b");
    const auto third = world.claim(0, "c");
    world.run(1s);
    CHECK(world.verdict(longKey) == ClaimVerdict::StoreUnavailable);
    CHECK(world.verdict(third) == ClaimVerdict::StoreUnavailable);
    CHECK(world.engine(0).counters().granted == 2);
}

TEST_SUITE_END();

}
