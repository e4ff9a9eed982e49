#include "claims/claim_world.h"
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

/// Claims one key after the other and lets each finish.
void claimEach(ClaimWorld& world, int first, int last)
{
    for (int i = first; i < last; ++i) {
        world.claim(0, keyOf(i));
        world.run(100ms);
    }
}

}

TEST_SUITE_BEGIN("claims");

TEST_CASE("A full head is sealed, and what it held is still known")
{
    ClaimWorld world(3, smallHeads());
    claimEach(world, 0, 35);
    REQUIRE(world.engine(0).counters().segmentsSealed == 3);
    CHECK(world.store().objects().contains("claims/0/segment/2"));

    SUBCASE("to the instance that sealed it")
    {
        const auto again = world.claim(0, keyOf(0));
        world.run(1s);
        CHECK(world.verdict(again) == ClaimVerdict::AlreadyDone);
    }
    SUBCASE("to an instance that joins later and reads the segments once")
    {
        for (const int number : { 0, 12, 34 }) {
            const auto again = world.claim(1, keyOf(number));
            const auto other = world.claim(1, keyOf(number), 2);
            world.run(1s);
            CHECK(world.verdict(again) == ClaimVerdict::AlreadyDone);
            CHECK(world.verdict(other) == ClaimVerdict::DifferentContent);
        }
        const auto fresh = world.claim(1, "order-new");
        world.run(1s);
        CHECK(world.verdict(fresh) == ClaimVerdict::Granted);
        CHECK(world.engine(1).counters().indexedKeys >= 30);
        // The head, three segments for the index, and four for the two pairs of keys found in them.
        CHECK(world.engine(1).counters().storeReads <= 9);
    }
    SUBCASE("and an outcome may lie in a later segment than its claim")
    {
        world.runTime = 3s;
        const auto slow = world.claim(0, "slow");
        for (int i = 100; i < 125; ++i) {
            world.claim(0, keyOf(i));
            world.run(20ms);
        }
        world.run(5s);
        const auto again = world.claim(2, "slow");
        world.run(1s);
        CHECK(world.verdict(slow) == ClaimVerdict::Granted);
        CHECK(world.verdict(again) == ClaimVerdict::AlreadyDone);
    }
    CHECK(world.violations().empty());
}

TEST_CASE("A release may lie in a later segment than its claim")
{
    ClaimWorld world(2, smallHeads());
    world.refusalTime = 3s;
    world.isRefused = [](std::size_t attempt) { return attempt == 0; };
    world.claim(0, "refused");
    claimEach(world, 0, 25);
    const auto early = world.claim(1, "refused");
    world.run(5s);
    CHECK(world.verdict(early) == ClaimVerdict::InProgress);
    const auto again = world.claim(1, "refused");
    world.run(5s);
    CHECK(world.verdict(again) == ClaimVerdict::Granted);
    CHECK(world.violations().empty());
}

TEST_CASE("An instance that takes over a partition reads the summaries of many segments at once")
{
    auto settings = smallHeads();
    settings.maxClaimsPerHead = 2;
    settings.outcomeDelay = 1ms;
    ClaimWorld world(3, settings);
    world.runTime = 1ms;
    const int claims = static_cast<int>(segmentsPerGroup) * 2 * 3;
    for (int i = 0; i < claims; ++i) {
        world.claim(0, keyOf(i));
        world.run(30ms);
    }
    REQUIRE(world.store().objects().contains("claims/0/group/1"));
    const auto sealed = world.engine(0).counters().segmentsSealed;
    const auto checkOld = [&](std::size_t instance) {
        for (const int number : { 0, 100, 200, claims - 1 }) {
            const auto again = world.claim(instance, keyOf(number));
            world.run(1s);
            CHECK(world.verdict(again) == ClaimVerdict::AlreadyDone);
        }
        CHECK(world.engine(instance).counters().indexedKeys >= 2 * sealed);
    };

    SUBCASE("with few calls")
    {
        checkOld(1);
        CHECK(world.engine(1).counters().storeReads < 1 + 2 + segmentsPerGroup + 10);
    }
    SUBCASE("and one by one when a group's object is missing or damaged")
    {
        auto& store = world.store();
        store.write("claims/0/group/0", store.objects().at("claims/0/group/0").version, "damaged", world.now());
        checkOld(1);
        CHECK(world.engine(1).counters().storeReads > segmentsPerGroup);
    }
    SUBCASE("and space is given back when the group has expired")
    {
        world.run(25h);
        for (int i = 0; i < 60; ++i) {
            world.claim(0, "late-" + std::to_string(i));
            world.run(30ms);
        }
        CHECK(world.store().objects().at("claims/0/group/0").value.empty());
        const auto again = world.claim(2, keyOf(0));
        world.run(1s);
        CHECK(world.verdict(again) == ClaimVerdict::Granted);
    }
    CHECK(parseGroup(groupText({ { 1, SegmentSummary {} } })) == std::nullopt);
}

TEST_CASE("A sealer stops after it created the segment, and the head grew before the next one seals")
{
    ClaimWorld world(3, smallHeads());
    auto larger = smallHeads();
    larger.maxClaimsPerHead = 100;
    world.restartWith(1, larger);
    claimEach(world, 0, 9);
    world.claim(0, keyOf(9)); // Fills the head; the write of its outcome seals it.
    while (!world.store().objects().contains("claims/0/segment/0"))
        world.run(500us);
    world.restart(0);
    world.claim(1, keyOf(11));
    world.run(1s);
    REQUIRE(world.engine(1).counters().granted == 1);

    const auto sealing = world.claim(2, keyOf(12));
    world.run(1s);
    CHECK(world.verdict(sealing) == ClaimVerdict::Granted);
    CHECK(world.engine(1).counters().segmentsSealed + world.engine(2).counters().segmentsSealed == 1);
    for (int i = 0; i < 13; ++i) {
        const auto again = world.claim(i % 3, keyOf(i));
        world.run(1s);
        CAPTURE(i);
        CHECK(world.verdict(again) == (i == 9 ? ClaimVerdict::InProgress : i == 10 ? ClaimVerdict::Granted
                                                                                   : ClaimVerdict::AlreadyDone));
    }
    CHECK(world.violations().empty());
}

TEST_CASE("Keys are forgotten after their lifetime, by the store's clock, and space with them")
{
    ClaimWorld world(2, smallHeads());
    claimEach(world, 0, 35);
    const auto held = world.engine(0).counters().indexedKeys;
    SUBCASE("not before it")
    {
        world.run(23h);
        claimEach(world, 100, 105);
        CHECK(world.engine(0).counters().segmentsExpired == 0);
        const auto again = world.claim(1, keyOf(0));
        world.run(1s);
        CHECK(world.verdict(again) == ClaimVerdict::AlreadyDone);
    }
    SUBCASE("but after it")
    {
        world.run(25h);
        claimEach(world, 100, 105);
        CHECK(world.engine(0).counters().segmentsExpired == 3);
        CHECK(world.engine(0).counters().indexedKeys < held);
        CHECK(world.store().objects().at("claims/0/segment/0").value.empty());
        const auto again = world.claim(1, keyOf(0));
        world.run(1s);
        CHECK(world.verdict(again) == ClaimVerdict::Granted);
    }
}

TEST_CASE("A missing or unreadable segment or head refuses claims and never grants them")
{
    ClaimWorld world(2, smallHeads());
    claimEach(world, 0, 15);
    auto& store = world.store();
    const auto corrupt = [&](const std::string& key) {
        const auto version = store.objects().at(key).version;
        store.write(key, version, "no log", world.now());
    };
    SUBCASE("a segment") { corrupt("claims/0/segment/0"); }
    SUBCASE("the head") { corrupt("claims/0/head"); }
    const auto attempt = world.claim(1, keyOf(0));
    world.run(2s);
    CHECK(world.verdict(attempt) == ClaimVerdict::StoreUnavailable);
    CHECK(world.engine(1).counters().unreadableObjects > 0);
}

TEST_CASE("Objects stay below the platform's limit, whatever answers and keys are recorded")
{
    auto settings = smallHeads();
    settings.maxClaimsPerHead = 100000;
    ClaimWorld world(1, settings);
    std::size_t largest = 0;
    for (int i = 0; i < 4000; ++i) {
        // Each byte of this key takes four in the log.
        world.claim(0, std::string(settings.maxKey.value - 8, '\n') + std::to_string(i), 1, 10s);
        world.run(1ms);
        if (auto it = world.store().objects().find("claims/0/head"); it != world.store().objects().end())
            largest = std::max(largest, it->second.value.size());
    }
    world.run(20s);
    CHECK(world.engine(0).counters().granted == 4000);
    CHECK(world.engine(0).pending() == 0);
    CHECK(largest < standin::PlatformStore::maxValueBytes);
    for (const auto& [key, object] : world.store().objects())
        CHECK(object.value.size() < standin::PlatformStore::maxValueBytes);
}

TEST_CASE("Records survive the way through the log")
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
    SUBCASE("and a cut or changed line is refused as a whole")
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
