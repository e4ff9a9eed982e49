#include "quarantine_feed.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// A store of one object that answers at once.
class OneObjectStore final : public ObjectStore {
public:
    void read(const std::string& key, ObjectHandler handler) override
    {
        ++reads;
        const auto found = object.value.empty() ? StoreStatus::NotFound : StoreStatus::Ok;
        handler(isDown ? StoreStatus::Unavailable : found, object);
    }
    void write(const std::string& key, ObjectVersion expected, const std::string& value, ObjectHandler handler) override
    {
        ++writes;
        if (holdsWrites) {
            heldWrite = std::move(handler);
            return;
        }
        if (isDown)
            return handler(StoreStatus::Unavailable, {});
        if (expected != object.version)
            return handler(StoreStatus::Conflict, object);
        object = { key, { object.version.value + 1 }, value };
        handler(losesResponses ? StoreStatus::Lost : StoreStatus::Ok, losesResponses ? StoredObject {} : object);
    }
    void list(const std::string&, ListHandler) override { }
    void watch(const std::string&, std::uint64_t, Duration, ListHandler) override { }

    StoredObject object;
    int reads = 0;
    int writes = 0;
    ObjectHandler heldWrite;
    bool holdsWrites = false; ///< The next write is kept in `heldWrite` and not executed.
    bool isDown = false;
    bool losesResponses = false;
};

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

struct FeedFixture {
    /// Starts the feed of a new process.
    void start()
    {
        known.clear();
        const auto onKnown = [this](const std::vector<CrashNews>& all) { known.insert(known.end(), all.begin(), all.end()); };
        feed.emplace(io.get_executor(), store, onKnown, [this] { return unixMillis() + std::chrono::milliseconds(clockStep).count(); });
        feed->start();
        run();
    }
    void run()
    {
        io.restart();
        io.poll();
    }
    /// Runs until the condition holds, over the feed's pauses.
    template <typename Condition>
    void runUntil(Condition isReached)
    {
        io.restart();
        while (!isReached() && io.run_one() > 0) { }
    }
    /// Tells the feed of a new epoch, and runs until it has read the object for it and done what follows.
    void beginEpoch(const std::vector<CrashNews>& inMemory)
    {
        const auto reads = store->reads;
        feed->onNewEpoch(inMemory, 0s);
        runUntil([&] { return store->reads > reads; });
        run();
    }
    std::vector<KeptQuarantine> kept() const { return decodeQuarantines(store->object.value); }

    boost::asio::io_context io;
    std::shared_ptr<OneObjectStore> store = std::make_shared<OneObjectStore>();
    std::optional<QuarantineFeed> feed;
    std::vector<CrashNews> known;
    std::chrono::milliseconds clockStep {}; ///< By which the machine's time is wrong.
};

}

TEST_CASE("A quarantine outlasts a restart of all instances" * doctest::test_suite("adapter"))
{
    FeedFixture fixture;
    fixture.start();
    CHECK(fixture.known.empty());
    fixture.feed->keep({ Fingerprint(7), 3, 1h, ServerName("s3") });
    fixture.run();
    fixture.start();
    REQUIRE(fixture.known.size() == 1);
    CHECK(fixture.known[0].fingerprint == Fingerprint(7));
    CHECK(fixture.known[0].crashes == 3);
    CHECK(fixture.known[0].quarantine > 59min);
    CHECK(fixture.known[0].quarantine <= 1h);

    SUBCASE("A content that another instance kept meanwhile is not lost, and is learnt here")
    {
        fixture.store->object.value = encodeQuarantines({ { Fingerprint(8), 4, unixMillis() + 60'000 } });
        ++fixture.store->object.version.value;
        fixture.feed->keep({ Fingerprint(9), 3, 1h, {} });
        fixture.run();
        CHECK(fixture.kept().size() == 3);
        CHECK(fixture.known.back().fingerprint == Fingerprint(8));
    }
    SUBCASE("A content whose quarantine has ended is not applied, and is kept no longer than a wrong clock may call one ended that others apply")
    {
        const auto kept = 70min;
        fixture.store->object.value = encodeQuarantines({ { Fingerprint(8), 4, unixMillis() - 1 }, { Fingerprint(6), 4, unixMillis() - std::chrono::milliseconds(kept).count() - 1 } });
        fixture.start();
        CHECK(fixture.known.empty());
        fixture.feed->keep({ Fingerprint(9), 3, 1h, {} });
        fixture.run();
        REQUIRE(fixture.kept().size() == 2);
        CHECK(fixture.kept()[0].content == Fingerprint(9));
        CHECK(fixture.kept()[1].content == Fingerprint(8));
    }
    SUBCASE("An instance whose clock was stepped ahead doesn't remove what others apply")
    {
        fixture.clockStep = 69min;
        const auto written = fixture.kept();
        fixture.feed->keep({ Fingerprint(9), 3, 1h, {} });
        fixture.run();
        REQUIRE(fixture.kept().size() == 2);
        CHECK(fixture.kept()[1] == written[0]);

        SUBCASE("The clock is set right, and all apply for an hour at most")
        {
            fixture.clockStep = {};
            fixture.start();
            REQUIRE(fixture.known.size() == 2);
            CHECK(fixture.known[0].quarantine <= 1h);
            CHECK(fixture.known[1].quarantine <= 1h);
        }
    }
    SUBCASE("A quarantine that ends later than any clock allows is cut off, as other instances would not accept it")
    {
        fixture.store->object.value = encodeQuarantines({ { Fingerprint(8), 4, unixMillis() + 100'000'000 } });
        fixture.start();
        REQUIRE(fixture.known.size() == 1);
        CHECK(fixture.known[0].quarantine == 1h);
    }
    SUBCASE("A write whose response is lost, or that the store refuses, is repeated")
    {
        SUBCASE("lost") { fixture.store->losesResponses = true; }
        SUBCASE("refused") { fixture.store->isDown = true; }
        fixture.feed->keep({ Fingerprint(9), 3, 1h, {} });
        fixture.run();
        fixture.store->losesResponses = false;
        fixture.store->isDown = false;
        const auto version = fixture.store->object.version;
        fixture.runUntil([&] { return fixture.store->object.version != version; });
        CHECK(fixture.kept().size() == 2);
    }
}

TEST_CASE("The store comes back from an older copy, which lacks quarantines" * doctest::test_suite("adapter"))
{
    FeedFixture fixture;
    fixture.start();
    fixture.feed->keep({ Fingerprint(7), 3, 1h, {} });
    fixture.run();
    const auto old = fixture.store->object;
    fixture.feed->keep({ Fingerprint(8), 3, 1h, {} });
    fixture.run();
    REQUIRE(fixture.kept().size() == 2);
    const std::vector<CrashNews> known { { Fingerprint(7), 3, 1h, {} }, { Fingerprint(8), 3, 1h, {} }, { Fingerprint(9), 3, 1h, {} }, { Fingerprint(10), 2, 0h, ServerName("s1") } };
    fixture.store->writes = 0;

    SUBCASE("What the process knows and the store lost is written again, also what another process had kept; what is only suspect is not")
    {
        SUBCASE("The copy has some") { fixture.store->object = old; }
        SUBCASE("The copy has none") { fixture.store->object = {}; }
        fixture.beginEpoch(known);
        CHECK(fixture.kept().size() == 3);
        CHECK(fixture.store->writes == 1);

        SUBCASE("An instance that finds all kept writes nothing")
        {
            fixture.beginEpoch(known);
            CHECK(fixture.store->writes == 1);
        }
    }
    SUBCASE("Until the object is read again, no version from before is used")
    {
        // Another content was written under a version that was given out before.
        fixture.store->object.value = encodeQuarantines({ { Fingerprint(11), 3, unixMillis() + 60'000 } });
        fixture.feed->onNewEpoch({}, 1min);
        fixture.feed->keep({ Fingerprint(9), 3, 1h, {} });
        fixture.run();
        const auto kept = fixture.kept();
        CHECK(std::any_of(kept.begin(), kept.end(), [](const auto& it) { return it.content == Fingerprint(11); }));
        CHECK(kept.size() == 4);
    }
    SUBCASE("A write that was sent before and is answered afterwards counts for nothing")
    {
        fixture.store->holdsWrites = true;
        fixture.feed->keep({ Fingerprint(9), 3, 1h, {} });
        fixture.run();
        fixture.store->holdsWrites = false;
        fixture.store->object = old;
        fixture.feed->onNewEpoch({}, 1min);
        fixture.store->heldWrite(StoreStatus::Ok, { "", { 3 }, "" });
        fixture.run();
        CHECK(fixture.kept().size() == 3);
    }
    SUBCASE("An instance whose clock was stepped ahead writes again what others had kept, too")
    {
        fixture.clockStep = 69min;
        fixture.store->holdsWrites = true;
        fixture.feed->keep({ Fingerprint(9), 3, 1h, {} });
        fixture.run();
        fixture.store->holdsWrites = false;
        fixture.store->object = {};
        fixture.feed->onNewEpoch({}, 1min);
        fixture.store->heldWrite(StoreStatus::Ok, { "", { 3 }, "" });
        fixture.run();
        CHECK(fixture.kept().size() == 3);
    }
    SUBCASE("Two instances that write what is lost at the same time need no third write")
    {
        fixture.store->object = old;
        fixture.store->holdsWrites = true;
        fixture.beginEpoch(known);
        fixture.store->holdsWrites = false;
        const auto end = unixMillis() + 3'600'000;
        fixture.store->object = { "", { 5 }, encodeQuarantines({ { Fingerprint(7), 3, end }, { Fingerprint(8), 3, end }, { Fingerprint(9), 3, end } }) };
        fixture.store->heldWrite(StoreStatus::Conflict, fixture.store->object);
        fixture.run();
        CHECK(fixture.store->writes == 1);
        CHECK(fixture.kept().size() == 3);
    }
}

TEST_CASE("An unreadable object of quarantines counts as empty" * doctest::test_suite("adapter"))
{
    CHECK(decodeQuarantines(R"({"contents":[{"content":"5","crashes":3,"endsAt":18446744073709551615}]})").empty());
    CHECK(decodeQuarantines("").empty());
    CHECK(decodeQuarantines("[1]").empty());
    CHECK(decodeQuarantines(R"({"contents":[7,{"content":"x"},{"content":"5","crashes":-1,"endsAt":3}]})").empty());
}

}
