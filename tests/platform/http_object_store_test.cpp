#include "platform/http_date.h"
#include "platform/percent_coding.h"
#include "platform/platform_fixture.h"

#include <boost/asio/ip/tcp.hpp>

#include <doctest/doctest.h>

namespace lycheefield {

TEST_SUITE_BEGIN("platform");

TEST_CASE("An object is written under a condition")
{
    PlatformFixture platform;
    const auto created = platform.write("claims/0/head", 0, "one \"quoted\" line\n");
    REQUIRE(created.status == StoreStatus::Ok);
    CHECK(created.object.version.value > 0);

    SUBCASE("and read back")
    {
        const auto found = platform.read("claims/0/head");
        CHECK(found.status == StoreStatus::Ok);
        CHECK(found.object == StoredObject { "claims/0/head", created.object.version, "one \"quoted\" line\n" });
    }
    SUBCASE("and the answer tells the platform's time")
    {
        CHECK(created.object.answeredAt > 0);
        CHECK(platform.read("claims/0/head").object.answeredAt >= created.object.answeredAt);
    }
    SUBCASE("and a second writer with the old condition changes nothing")
    {
        CHECK(platform.write("claims/0/head", 0, "other").status == StoreStatus::Conflict);
        CHECK(platform.read("claims/0/head").object.value == "one \"quoted\" line\n");
    }
    SUBCASE("and a writer that read it first replaces it")
    {
        const auto next = platform.write("claims/0/head", created.object.version.value, "two");
        CHECK(next.status == StoreStatus::Ok);
        CHECK(next.object.version > created.object.version);
    }
    SUBCASE("and a value above 1 MB is refused")
    {
        const auto large = platform.write("claims/1/head", 0, std::string(1024 * 1024 + 1, 'x'));
        CHECK(large.status == StoreStatus::Unavailable);
        CHECK(platform.read("claims/1/head").status == StoreStatus::NotFound);
    }
    SUBCASE("and every call was counted on one kept connection")
    {
        platform.read("claims/0/head");
        const auto counters = platform.client->counters();
        CHECK(counters.writes == 1);
        CHECK(counters.reads == 1);
        CHECK(counters.connectionsOpened == 1);
        CHECK(counters.bytesSent > 0);
    }
}

TEST_CASE("A write's answer is lost")
{
    PlatformFixture platform;
    SUBCASE("after it took effect")
    {
        platform.change([](auto& faults) { faults.loseWriteAnswers = 1; });
        CHECK(platform.write("k", 0, "v").status == StoreStatus::Lost);
        CHECK(platform.read("k").object.value == "v");
    }
    SUBCASE("and it takes effect after a later read")
    {
        platform.change([](auto& faults) { faults.lateWrites = 1; faults.lateBy = 50ms; });
        CHECK(platform.write("k", 0, "v").status == StoreStatus::Lost);
        CHECK(platform.read("k").status == StoreStatus::NotFound);
        std::optional<WatchBatch> batch;
        platform.store->watch("k", 0, Duration::max(), [&](WatchBatch it) { batch = std::move(it); });
        CHECK(platform.await(batch).changed.at(0).value == "v");
    }
    SUBCASE("because it took longer than the timeout")
    {
        PlatformClientSettings settings;
        settings.callTimeout = 20ms;
        PlatformFixture slow(settings);
        slow.change([](auto& faults) { faults.delay = 10s; });
        CHECK(slow.write("k", 0, "v").status == StoreStatus::Lost);
        CHECK(slow.server.store().objects().contains("k"));
        CHECK(slow.client->counters().lost == 1);
    }
}

TEST_CASE("HTTP dates and URL escapes")
{
    CHECK(toHttpDate(784111777) == "Sun, 06 Nov 1994 08:49:37 GMT");
    CHECK(parseHttpDate("Sun, 06 Nov 1994 08:49:37 GMT") == 784111777);
    CHECK_FALSE(parseHttpDate("Sun, 06 Nov 1994"));
    CHECK_FALSE(parseHttpDate(""));
    CHECK(percentEncode("claims/0/a b?") == "claims/0/a%20b%3F");
    CHECK(percentDecode("claims/0/a%20b%3f") == "claims/0/a b?");
    CHECK_FALSE(percentDecode("%2"));
    CHECK_FALSE(percentDecode("%zz"));
}

TEST_CASE("The platform can't be used")
{
    SUBCASE("because of an outage: nothing was written")
    {
        PlatformFixture platform;
        platform.change([](auto& faults) { faults.outage = true; });
        CHECK(platform.write("k", 0, "v").status == StoreStatus::Unavailable);
        CHECK(platform.read("k").status == StoreStatus::Unavailable);
        CHECK(platform.server.store().objects().empty());
    }
    SUBCASE("because its rate limit is passed")
    {
        PlatformFixture platform;
        platform.change([](auto& faults) { faults.callsPerSecond = 1; });
        CHECK(platform.write("k", 0, "v").status == StoreStatus::Ok);
        CHECK(platform.write("k", 1, "v").status == StoreStatus::Unavailable);
    }
    SUBCASE("because nobody listens: no byte was sent")
    {
        PlatformFixture platform;
        boost::asio::ip::tcp::acceptor closed(platform.context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        auto settings = platform.settings;
        settings.endpoint.port = closed.local_endpoint().port();
        closed.close();
        HttpObjectStore store(std::make_shared<PlatformClient>(platform.context.get_executor(), settings));
        std::optional<StoreStatus> status;
        store.write("k", {}, "v", [&](StoreStatus it, const StoredObject&) { status = it; });
        CHECK(platform.await(status) == StoreStatus::Unavailable);
    }
    SUBCASE("and after refusals in a row calls pause without being sent")
    {
        PlatformClientSettings settings;
        settings.failuresBeforePause = 2;
        settings.initialBackoff = 1h;
        settings.maxBackoff = 1h;
        PlatformFixture platform(settings);
        platform.change([](auto& faults) { faults.outage = true; });
        for (int i = 0; i < 5; ++i)
            CHECK(platform.read("k").status == StoreStatus::Unavailable);
        CHECK(platform.server.store().counters().reads == 2);
        CHECK(platform.client->counters().refusedByPause == 3);
    }
    SUBCASE("because this instance's own budget is spent")
    {
        PlatformClientSettings settings;
        settings.writesPerSecond = 1;
        PlatformFixture platform(settings);
        CHECK(platform.write("k", 0, "v").status == StoreStatus::Ok);
        CHECK(platform.write("k", 1, "w").status == StoreStatus::Unavailable);
        CHECK(platform.server.store().counters().writes == 1);
        CHECK(platform.client->counters().refusedByBudget == 1);
    }
}

TEST_CASE("More calls than connections wait their turn")
{
    PlatformClientSettings settings;
    settings.maxConnections = 2;
    PlatformFixture platform(settings);
    std::optional<int> all;
    int answers = 0;
    for (int i = 0; i < 20; ++i) {
        platform.store->read("k", [&](StoreStatus status, const StoredObject&) {
            CHECK(status == StoreStatus::NotFound);
            if (++answers == 20)
                all = answers;
        });
    }
    CHECK(platform.await(all) == 20);
    CHECK(platform.client->counters().connectionsOpened == 2);
}

TEST_CASE("Calls under way when the client goes are answered")
{
    PlatformFixture platform;
    platform.change([](auto& faults) { faults.delay = 10s; });
    std::optional<StoreStatus> status;
    platform.store->write("k", {}, "v", [&](StoreStatus it, const StoredObject&) { status = it; });
    while (platform.server.store().objects().empty())
        platform.context.run_one();
    platform.store.reset();
    platform.client.reset();
    CHECK(platform.await(status) == StoreStatus::Lost);
}

TEST_CASE("The instance list lags")
{
    PlatformFixture platform;
    HttpInstanceList list(platform.client);
    const Instance instance { InstanceName("entry-1"), ProcessLife(0xfedcba9876543210ULL), { "127.0.0.1", 7001 }, { "127.0.0.1", 8001 }, ZoneName("ikeja-a"), InstanceHealth::Alive };
    std::optional<bool> isTaken;
    list.report(instance, [&](bool taken) { isTaken = taken; });
    REQUIRE(platform.await(isTaken));

    std::optional<std::optional<std::vector<Instance>>> seen;
    const auto fetch = [&] {
        seen.reset();
        list.fetch([&](auto instances) { seen = std::move(instances); });
        return platform.await(seen);
    };
    SUBCASE("not at all: it shows what was reported")
    {
        CHECK(fetch() == std::vector { instance });
    }
    SUBCASE("by an hour: it does not show the instance yet")
    {
        platform.change([](auto& faults) { faults.instanceLag = 1h; });
        CHECK(fetch() == std::vector<Instance> {});
    }
    SUBCASE("and an outage gives no list")
    {
        platform.change([](auto& faults) { faults.outage = true; });
        CHECK_FALSE(fetch());
    }
}

TEST_SUITE_END();

}
