#include "claims/claim_test_bed.h"

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

TEST_CASE("The claim engine grants a key only once")
{
    ClaimTestBed testBed(3, onePartition());
    const auto first = testBed.claim(0, "order-1");
    testBed.run(2s);
    REQUIRE(testBed.verdict(first) == ClaimVerdict::Granted);

    SUBCASE("A second claim on another instance gets the recorded outcome")
    {
        const auto again = testBed.claim(1, "order-1");
        testBed.run(2s);
        CHECK(testBed.verdict(again) == ClaimVerdict::AlreadyDone);
        CHECK((testBed.trackedClaims()[again].decided->recordedState == RunState::Ran));
    }
    SUBCASE("A claim of the key for different content is refused")
    {
        const auto other = testBed.claim(1, "order-1", 2);
        testBed.run(2s);
        CHECK(testBed.verdict(other) == ClaimVerdict::DifferentContent);
    }
    SUBCASE("Another key can still be claimed")
    {
        const auto other = testBed.claim(1, "order-2");
        testBed.run(2s);
        CHECK(testBed.verdict(other) == ClaimVerdict::Granted);
    }
    SUBCASE("A restarted instance treats its own earlier claim as another request's")
    {
        const auto unfinished = testBed.claim(2, "order-3");
        testBed.run(4ms);
        REQUIRE(testBed.verdict(unfinished) == ClaimVerdict::Granted);
        testBed.restart(2);
        const auto again = testBed.claim(2, "order-3");
        testBed.run(2s);
        CHECK(testBed.verdict(again) == ClaimVerdict::InProgress);
    }
    CHECK(testBed.violations().empty());
}

TEST_CASE("The claim engines grant a key to one of two instances that claim the key at the same time")
{
    ClaimTestBed testBed(2, onePartition());
    const auto one = testBed.claim(0, "order-1");
    const auto two = testBed.claim(1, "order-1");
    testBed.run(2s);
    const bool isOneGranted = testBed.verdict(one) == ClaimVerdict::Granted;
    const bool isTwoGranted = testBed.verdict(two) == ClaimVerdict::Granted;
    CHECK(isOneGranted != isTwoGranted);
    CHECK(testBed.violations().empty());
}

TEST_CASE("The claim engine batches concurrent claims into one write")
{
    ClaimTestBed testBed(1, onePartition());
    testBed.claim(0, "first");
    testBed.run(3ms); // The head was read, and the first write is in flight.
    for (int i = 0; i < 100; ++i)
        testBed.claim(0, "order-" + std::to_string(i));
    testBed.run(20ms);
    const auto counters = testBed.engine(0).counters();
    CHECK(counters.granted == 101);
    CHECK(counters.storeWrites == 2);
    SUBCASE("The outcomes of the claims also share writes")
    {
        testBed.run(2s);
        CHECK(testBed.engine(0).counters().storeWrites <= 4);
        CHECK(testBed.engine(0).pending() == 0);
    }
}

TEST_CASE("The claim engine grants only the first of two claims of one key in the same batch")
{
    ClaimTestBed testBed(1, onePartition());
    testBed.claim(0, "first");
    testBed.run(1ms);
    const auto one = testBed.claim(0, "order-1");
    const auto two = testBed.claim(0, "order-1");
    testBed.run(2s);
    CHECK(testBed.verdict(one) == ClaimVerdict::Granted);
    CHECK(testBed.verdict(two) == ClaimVerdict::InProgress);
    CHECK(testBed.violations().empty());
}

TEST_CASE("The key of a granted request can be claimed again after the backend server refused the request")
{
    ClaimTestBed testBed(2, onePartition());
    testBed.isRefused = [](std::size_t number) { return number == 0; };
    testBed.claim(0, "order-1");
    testBed.run(2s);
    const auto again = testBed.claim(1, "order-1", 2);
    testBed.run(2s);
    CHECK(testBed.verdict(again) == ClaimVerdict::Granted);
    CHECK(testBed.violations().empty());
}

TEST_CASE("The release of a key and the next claim of the key share a write")
{
    ClaimTestBed testBed(1, onePartition());
    testBed.isRefused = [](std::size_t number) { return number == 0; };
    testBed.claim(0, "order-1");
    testBed.run(6ms); // The request was granted and refused; its release waits for the next write.
    REQUIRE(testBed.engine(0).pending() == 1);
    const auto again = testBed.claim(0, "order-1", 2);
    testBed.run(4ms);
    CHECK(testBed.verdict(again) == ClaimVerdict::Granted);
    CHECK(testBed.engine(0).counters().storeWrites == 2);
}

TEST_CASE("The claim engine refuses claims while the store is unreachable")
{
    ClaimTestBed testBed(1, onePartition());
    standin::PlatformFaults faults;
    faults.outage = true;
    testBed.store().setFaults(faults);
    const auto first = testBed.claim(0, "order-1", 1, 10s);
    testBed.run(3ms);
    SUBCASE("A claim is refused as soon as the store refuses the call, not at the claim's deadline")
    {
        CHECK(testBed.verdict(first) == ClaimVerdict::StoreUnavailable);
    }
    SUBCASE("The engine does not call the store for every claim")
    {
        for (int i = 0; i < 1000; ++i)
            testBed.claim(0, "order-1", 1, 10s);
        testBed.run(5ms);
        CHECK(testBed.engine(0).counters().storeUnavailable == 1001);
        CHECK(testBed.storeCalls() == 1);
    }
    SUBCASE("The key can be claimed once the store is reachable again")
    {
        testBed.store().setFaults({});
        testBed.run(1s);
        const auto again = testBed.claim(0, "order-1");
        testBed.run(1s);
        CHECK(testBed.verdict(again) == ClaimVerdict::Granted);
    }
    CHECK(testBed.violations().empty());
}

TEST_CASE("A claim on a slow store is refused at its deadline, and the key can be claimed later")
{
    ClaimTestBed testBed(1, onePartition());
    testBed.callTime = 40ms;
    const auto first = testBed.claim(0, "order-1", 1, 100ms);
    testBed.run(99ms);
    CHECK_FALSE(testBed.verdict(first));
    testBed.run(1ms);
    CHECK(testBed.verdict(first) == ClaimVerdict::StoreUnavailable);
    testBed.run(1s);
    const auto again = testBed.claim(0, "order-1");
    testBed.run(1s);
    CHECK(testBed.verdict(again) == ClaimVerdict::Granted);
    CHECK(testBed.violations().empty());
}

TEST_CASE("The claim engine writes the release of a claim that it adopted from another instance")
{
    ClaimTestBed testBed(2, onePartition());
    testBed.isRefused = [](std::size_t) { return true; };
    testBed.runTime = 1h;
    const auto first = testBed.claim(0, "order-1");
    testBed.run(4ms);
    REQUIRE(testBed.verdict(first) == ClaimVerdict::Granted);
    const auto& claim = testBed.trackedClaims()[first];
    ClaimActions actions;
    testBed.engine(1).adopt({ claim.request, IdempotencyKey(claim.key), claim.fingerprint, testBed.now() + 1s });
    testBed.engine(1).release(claim.request, testBed.now(), actions);
    CHECK(testBed.engine(1).pending() == 1);
    CHECK(actions.size() == 1);
}

TEST_CASE("The claim engine refuses a key above the length limit and a claim above the queue limit")
{
    auto settings = onePartition();
    settings.maxKey = ByteCount { 8 };
    settings.maxWaitingPerPartition = 2;
    ClaimTestBed testBed(1, settings);
    const auto longKey = testBed.claim(0, "more than eight");
    testBed.claim(0, "a");
    testBed.claim(0, "b");
    const auto third = testBed.claim(0, "c");
    testBed.run(1s);
    CHECK(testBed.verdict(longKey) == ClaimVerdict::StoreUnavailable);
    CHECK(testBed.verdict(third) == ClaimVerdict::StoreUnavailable);
    CHECK(testBed.engine(0).counters().granted == 2);
}

TEST_SUITE_END();

}
