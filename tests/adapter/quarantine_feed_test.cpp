#include "quarantine_feed.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// A store of one object that answers at once.
class OneObjectStore final : public ObjectStore {
public:
    void read(const std::string& key, ObjectHandler handler) override { handler(isDown ? StoreStatus::Unavailable : object.value.empty() ? StoreStatus::NotFound
                                                                                                                                         : StoreStatus::Ok,
        object); }
    void write(const std::string& key, ObjectVersion expected, const std::string& value, ObjectHandler handler) override
    {
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
        feed.emplace(io.get_executor(), store, [this](const std::vector<CrashNews>& all) { known.insert(known.end(), all.begin(), all.end()); });
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
    std::vector<KeptQuarantine> kept() const { return decodeQuarantines(store->object.value); }

    boost::asio::io_context io;
    std::shared_ptr<OneObjectStore> store = std::make_shared<OneObjectStore>();
    std::optional<QuarantineFeed> feed;
    std::vector<CrashNews> known;
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
    SUBCASE("A content whose quarantine has ended is neither applied nor kept any longer")
    {
        fixture.store->object.value = encodeQuarantines({ { Fingerprint(8), 4, unixMillis() - 1 } });
        fixture.start();
        CHECK(fixture.known.empty());
        fixture.feed->keep({ Fingerprint(9), 3, 1h, {} });
        fixture.run();
        REQUIRE(fixture.kept().size() == 1);
        CHECK(fixture.kept()[0].content == Fingerprint(9));
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

TEST_CASE("An unreadable object of quarantines counts as empty" * doctest::test_suite("adapter"))
{
    CHECK(decodeQuarantines(R"({"contents":[{"content":"5","crashes":3,"endsAt":18446744073709551615}]})").empty());
    CHECK(decodeQuarantines("").empty());
    CHECK(decodeQuarantines("[1]").empty());
    CHECK(decodeQuarantines(R"({"contents":[7,{"content":"x"},{"content":"5","crashes":-1,"endsAt":3}]})").empty());
}

}
