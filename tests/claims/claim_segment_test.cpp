#include "claims/claim_test_bed.h"
#include "claims/segment_group.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

ClaimSettings smallHeads()
{
    ClaimSettings settings;
    settings.partitions = 1;
    settings.maxClaimsPerHead = 10;
    settings.batchWindow = 5ms;
    settings.keyLifetime = 24h;
    return settings;
}

std::string keyOf(int number)
{
    return "order-" + std::to_string(number);
}

/// Claims keys one after the other and lets each request finish.
void claimEach(ClaimTestBed& testBed, int first, int last)
{
    for (int i = first; i < last; ++i) {
        testBed.claim(0, keyOf(i));
        testBed.run(100ms);
    }
}

}

TEST_SUITE_BEGIN("claims");

TEST_CASE("The claim engine seals a full head into a segment and still finds its keys")
{
    ClaimTestBed testBed(3, smallHeads());
    claimEach(testBed, 0, 35);
    REQUIRE(testBed.engine(0).counters().segmentsSealed == 3);
    CHECK(testBed.store().objects().contains("claims/0/segment/2"));

    SUBCASE("The instance that sealed the head finds the key")
    {
        const auto again = testBed.claim(0, keyOf(0));
        testBed.run(1s);
        CHECK(testBed.verdict(again) == ClaimVerdict::AlreadyDone);
    }
    SUBCASE("An instance that joins later reads each segment for the index once")
    {
        for (const int number : { 0, 12, 34 }) {
            const auto again = testBed.claim(1, keyOf(number));
            const auto other = testBed.claim(1, keyOf(number), 2);
            testBed.run(1s);
            CHECK(testBed.verdict(again) == ClaimVerdict::AlreadyDone);
            CHECK(testBed.verdict(other) == ClaimVerdict::DifferentContent);
        }
        const auto fresh = testBed.claim(1, "order-new");
        testBed.run(1s);
        CHECK(testBed.verdict(fresh) == ClaimVerdict::Granted);
        CHECK(testBed.engine(1).counters().indexedKeys >= 30);
        // The head, three segments for the index, and four for the two pairs of keys found in them.
        CHECK(testBed.engine(1).counters().storeReads <= 9);
    }
    SUBCASE("An outcome is found in a later segment than its claim")
    {
        testBed.runTime = 3s;
        const auto slow = testBed.claim(0, "slow");
        for (int i = 100; i < 125; ++i) {
            testBed.claim(0, keyOf(i));
            testBed.run(20ms);
        }
        testBed.run(5s);
        const auto again = testBed.claim(2, "slow");
        testBed.run(1s);
        CHECK(testBed.verdict(slow) == ClaimVerdict::Granted);
        CHECK(testBed.verdict(again) == ClaimVerdict::AlreadyDone);
    }
    CHECK(testBed.violations().empty());
}

TEST_CASE("The claim engine finds a release in a later segment than its claim")
{
    ClaimTestBed testBed(2, smallHeads());
    testBed.refusalTime = 3s;
    testBed.isRefused = [](std::size_t number) { return number == 0; };
    testBed.claim(0, "refused");
    claimEach(testBed, 0, 25);
    const auto early = testBed.claim(1, "refused");
    testBed.run(5s);
    CHECK(testBed.verdict(early) == ClaimVerdict::InProgress);
    const auto again = testBed.claim(1, "refused");
    testBed.run(5s);
    CHECK(testBed.verdict(again) == ClaimVerdict::Granted);
    CHECK(testBed.violations().empty());
}

TEST_CASE("An instance that starts to use a partition reads the segment summaries by group")
{
    auto settings = smallHeads();
    settings.maxClaimsPerHead = 2;
    settings.outcomeDelay = 1ms;
    ClaimTestBed testBed(3, settings);
    testBed.runTime = 1ms;
    const int claims = static_cast<int>(segmentsPerGroup) * 2 * 3;
    for (int i = 0; i < claims; ++i) {
        testBed.claim(0, keyOf(i));
        testBed.run(30ms);
    }
    REQUIRE(testBed.store().objects().contains("claims/0/group/1"));
    const auto sealed = testBed.engine(0).counters().segmentsSealed;
    const auto checkOld = [&](std::size_t instance) {
        for (const int number : { 0, 100, 200, claims - 1 }) {
            const auto again = testBed.claim(instance, keyOf(number));
            testBed.run(1s);
            CHECK(testBed.verdict(again) == ClaimVerdict::AlreadyDone);
        }
        CHECK(testBed.engine(instance).counters().indexedKeys >= 2 * sealed);
    };

    SUBCASE("The instance needs one read per complete group")
    {
        checkOld(1);
        CHECK(testBed.engine(1).counters().storeReads < 1 + 2 + segmentsPerGroup + 10);
    }
    SUBCASE("The instance reads the segments of a group one by one when the group object is damaged")
    {
        auto& store = testBed.store();
        store.write("claims/0/group/0", store.objects().at("claims/0/group/0").version, "damaged", testBed.now());
        checkOld(1);
        CHECK(testBed.engine(1).counters().storeReads > segmentsPerGroup);
    }
    SUBCASE("The engine clears the group object when the group has expired")
    {
        testBed.run(25h);
        for (int i = 0; i < 60; ++i) {
            testBed.claim(0, "late-" + std::to_string(i));
            testBed.run(30ms);
        }
        CHECK(testBed.store().objects().at("claims/0/group/0").value.empty());
        const auto again = testBed.claim(2, keyOf(0));
        testBed.run(1s);
        CHECK(testBed.verdict(again) == ClaimVerdict::Granted);
    }
    CHECK(parseGroup(groupText({ { 1, SegmentSummary {} } })) == std::nullopt);
}

TEST_CASE("Another instance completes a seal when the first one stopped after creating the segment and the head has grown since")
{
    ClaimTestBed testBed(3, smallHeads());
    auto larger = smallHeads();
    larger.maxClaimsPerHead = 100;
    testBed.restartWith(1, larger);
    claimEach(testBed, 0, 9);
    testBed.claim(0, keyOf(9)); // Fills the head, so that the write of the outcome seals the head.
    while (!testBed.store().objects().contains("claims/0/segment/0"))
        testBed.run(500us);
    testBed.restart(0);
    testBed.claim(1, keyOf(11));
    testBed.run(1s);
    REQUIRE(testBed.engine(1).counters().granted == 1);

    const auto sealing = testBed.claim(2, keyOf(12));
    testBed.run(1s);
    CHECK(testBed.verdict(sealing) == ClaimVerdict::Granted);
    CHECK(testBed.engine(1).counters().segmentsSealed + testBed.engine(2).counters().segmentsSealed == 1);
    for (int i = 0; i < 13; ++i) {
        const auto again = testBed.claim(i % 3, keyOf(i));
        testBed.run(1s);
        CAPTURE(i);
        CHECK(testBed.verdict(again) == (i == 9 ? ClaimVerdict::InProgress : i == 10 ? ClaimVerdict::Granted
                                                                                     : ClaimVerdict::AlreadyDone));
    }
    CHECK(testBed.violations().empty());
}

TEST_CASE("The claim engine expires segments by the store's clock after the key lifetime")
{
    ClaimTestBed testBed(2, smallHeads());
    claimEach(testBed, 0, 35);
    const auto held = testBed.engine(0).counters().indexedKeys;
    SUBCASE("A key is still known before the end of its lifetime")
    {
        testBed.run(23h);
        claimEach(testBed, 100, 105);
        CHECK(testBed.engine(0).counters().segmentsExpired == 0);
        const auto again = testBed.claim(1, keyOf(0));
        testBed.run(1s);
        CHECK(testBed.verdict(again) == ClaimVerdict::AlreadyDone);
    }
    SUBCASE("A key can be claimed again after its lifetime, and its segment is cleared")
    {
        testBed.run(25h);
        claimEach(testBed, 100, 105);
        CHECK(testBed.engine(0).counters().segmentsExpired == 3);
        CHECK(testBed.engine(0).counters().indexedKeys < held);
        CHECK(testBed.store().objects().at("claims/0/segment/0").value.empty());
        const auto again = testBed.claim(1, keyOf(0));
        testBed.run(1s);
        CHECK(testBed.verdict(again) == ClaimVerdict::Granted);
    }
}

TEST_CASE("The claim engine refuses claims when a segment or the head is malformed")
{
    ClaimTestBed testBed(2, smallHeads());
    claimEach(testBed, 0, 15);
    auto& store = testBed.store();
    const auto corrupt = [&](const std::string& key) {
        const auto version = store.objects().at(key).version;
        store.write(key, version, "no log", testBed.now());
    };
    SUBCASE("A segment is malformed") { corrupt("claims/0/segment/0"); }
    SUBCASE("The head is malformed") { corrupt("claims/0/head"); }
    const auto claim = testBed.claim(1, keyOf(0));
    testBed.run(2s);
    CHECK(testBed.verdict(claim) == ClaimVerdict::StoreUnavailable);
    CHECK(testBed.engine(1).counters().unreadableObjects > 0);
}

TEST_CASE("Every object of the claim engine stays below the platform's size limit with the longest keys")
{
    auto settings = smallHeads();
    settings.maxClaimsPerHead = 100000;
    ClaimTestBed testBed(1, settings);
    std::size_t largest = 0;
    for (int i = 0; i < 4000; ++i) {
        // Each line break in the key is escaped to four bytes in the log.
        testBed.claim(0, std::string(settings.maxKey.value - 8, '\n') + std::to_string(i), 1, 10s);
        testBed.run(1ms);
        if (auto it = testBed.store().objects().find("claims/0/head"); it != testBed.store().objects().end())
            largest = std::max(largest, it->second.value.size());
    }
    testBed.run(20s);
    CHECK(testBed.engine(0).counters().granted == 4000);
    CHECK(testBed.engine(0).pending() == 0);
    CHECK(largest < standin::PlatformStore::maxValueBytes);
    for (const auto& [key, object] : testBed.store().objects())
        CHECK(object.value.size() < standin::PlatformStore::maxValueBytes);
}

TEST_CASE("Claim records are unchanged after formatting and parsing")
{
    const RequestId token { ProcessLife(0xfedcba9876543210ULL), 7 };
    const std::vector<ClaimRecord> records = {
        { ClaimRecordKind::Claim, IdempotencyKey("a key\twith \\ and \n"), token, Fingerprint(~0ULL), 1'700'000'000, RunState::Unknown, {} },
        { ClaimRecordKind::Outcome, IdempotencyKey("ngói"), token, {}, 0, RunState::NotRun, "{\"màu\":\"đỏ\"}\n" },
        { ClaimRecordKind::Outcome, IdempotencyKey(""), token, {}, 0, RunState::Ran, "" },
        { ClaimRecordKind::Release, IdempotencyKey(std::string(1, '\0')), token, {}, 0, RunState::Unknown, {} },
    };
    std::string body;
    for (const auto& it : records)
        body += toLine(it);
    CHECK((parseClaimRecords(body) == records));
    SUBCASE("The parsers refuse a log with a truncated or malformed line")
    {
        CHECK_FALSE(parseClaimRecords(body.substr(0, body.size() - 1)));
        CHECK_FALSE(parseClaimRecords("X a " + token.toString() + "\n"));
        CHECK_FALSE(parseClaimRecords("C a " + token.toString() + "\n"));
        CHECK_FALSE(parseClaimRecords("C a 12 1 1\n"));
        CHECK_FALSE(parseClaimRecords("O a " + token.toString() + " x y\n"));
        CHECK_FALSE(parseClaimRecords("R a\\x " + token.toString() + "\n"));
        CHECK_FALSE(ClaimLog::parse("claim-head-1 5 2\n"));
        CHECK_FALSE(ClaimLog::parse("claim-head-2 0 0\n"));
    }
}

TEST_SUITE_END();

}
