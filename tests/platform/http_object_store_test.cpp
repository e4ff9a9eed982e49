#include "platform/http_date.h"
#include "platform/percent_coding.h"
#include "platform/platform_fixture.h"

#include <boost/asio/ip/tcp.hpp>

#include <doctest/doctest.h>

namespace lycheefield {

TEST_SUITE_BEGIN("platform");

TEST_CASE("The object store writes an object only if its version is the expected one")
{
    PlatformFixture platform;
    const auto created = platform.write("claims/0/head", 0, "one \"quoted\" line\n");
    REQUIRE(created.status == StoreStatus::Ok);
    CHECK(created.object.version.value > 0);

    SUBCASE("A written object is read back with its version")
    {
        const auto found = platform.read("claims/0/head");
        CHECK(found.status == StoreStatus::Ok);
        CHECK(found.object == StoredObject { "claims/0/head", created.object.version, "one \"quoted\" line\n" });
    }
    SUBCASE("Every response carries the platform's time")
    {
        CHECK(created.object.respondedAt > 0);
        CHECK(platform.read("claims/0/head").object.respondedAt >= created.object.respondedAt);
    }
    SUBCASE("A write with an outdated version conflicts and changes nothing")
    {
        CHECK(platform.write("claims/0/head", 0, "other").status == StoreStatus::Conflict);
        CHECK(platform.read("claims/0/head").object.value == "one \"quoted\" line\n");
    }
    SUBCASE("A write with the current version replaces the object")
    {
        const auto next = platform.write("claims/0/head", created.object.version.value, "two");
        CHECK(next.status == StoreStatus::Ok);
        CHECK(next.object.version > created.object.version);
    }
    SUBCASE("The platform refuses a value above 1 MB")
    {
        const auto large = platform.write("claims/1/head", 0, std::string(1024 * 1024 + 1, 'x'));
        CHECK(large.status == StoreStatus::Unavailable);
        CHECK(platform.read("claims/1/head").status == StoreStatus::NotFound);
    }
    SUBCASE("The client counts every call and reuses one connection for all of them")
    {
        platform.read("claims/0/head");
        const auto counters = platform.client->counters();
        CHECK(counters.writes == 1);
        CHECK(counters.reads == 1);
        CHECK(counters.connectionsOpened == 1);
        CHECK(counters.bytesSent > 0);
    }
}

TEST_CASE("A write without a response ends as Lost, whether it took effect or not")
{
    PlatformFixture platform;
    SUBCASE("A write that took effect before its response was lost ends as Lost")
    {
        platform.change([](auto& faults) { faults.loseWriteAnswers = 1; });
        CHECK(platform.write("k", 0, "v").status == StoreStatus::Lost);
        CHECK(platform.read("k").object.value == "v");
    }
    SUBCASE("A write that takes effect only after a later read ends as Lost")
    {
        platform.change([](auto& faults) { faults.lateWrites = 1; faults.lateBy = 50ms; });
        CHECK(platform.write("k", 0, "v").status == StoreStatus::Lost);
        CHECK(platform.read("k").status == StoreStatus::NotFound);
        std::optional<WatchBatch> batch;
        platform.store->watch("k", 0, Duration::max(), [&](WatchBatch it) { batch = std::move(it); });
        CHECK(platform.await(batch).changed.at(0).value == "v");
    }
    SUBCASE("A write whose response exceeds the time-out ends as Lost")
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

TEST_CASE("HTTP dates and percent-encoding convert in both directions, and malformed input is rejected")
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

TEST_CASE("A call that the platform can't serve ends as Unavailable")
{
    SUBCASE("A write during an outage of the platform writes nothing")
    {
        PlatformFixture platform;
        platform.change([](auto& faults) { faults.outage = true; });
        CHECK(platform.write("k", 0, "v").status == StoreStatus::Unavailable);
        CHECK(platform.read("k").status == StoreStatus::Unavailable);
        CHECK(platform.server.store().objects().empty());
    }
    SUBCASE("The platform refuses a call above its rate limit")
    {
        PlatformFixture platform;
        platform.change([](auto& faults) { faults.callsPerSecond = 1; });
        CHECK(platform.write("k", 0, "v").status == StoreStatus::Ok);
        CHECK(platform.write("k", 1, "v").status == StoreStatus::Unavailable);
    }
    SUBCASE("A call to a closed port sends no byte")
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
    SUBCASE("After several refusals in a row the client pauses and sends no call")
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
    SUBCASE("The client refuses a call above its own budget without sending it")
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

TEST_CASE("Calls beyond the connection limit wait for a free connection")
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

TEST_CASE("A call in flight when the client is destroyed ends as Lost")
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

TEST_CASE("The instance list shows reported instances with the platform's lag")
{
    PlatformFixture platform;
    HttpInstanceList list(platform.client);
    const Instance instance { InstanceName("entry-1"), ProcessLife(0xfedcba9876543210ULL), { "127.0.0.1", 7001 }, { "127.0.0.1", 8001 }, ZoneName("ikeja-a"), InstanceHealth::Alive };
    std::optional<bool> isAccepted;
    list.report(instance, [&](bool accepted) { isAccepted = accepted; });
    REQUIRE(platform.await(isAccepted));

    std::optional<std::optional<std::vector<Instance>>> seen;
    const auto fetch = [&] {
        seen.reset();
        list.fetch([&](auto instances) { seen = std::move(instances); });
        return platform.await(seen);
    };
    SUBCASE("Without lag the list shows the reported instance")
    {
        CHECK(fetch() == std::vector { instance });
    }
    SUBCASE("With a lag of an hour the list does not show the instance yet")
    {
        platform.change([](auto& faults) { faults.instanceLag = 1h; });
        CHECK(fetch() == std::vector<Instance> {});
    }
    SUBCASE("During an outage of the platform there is no list")
    {
        platform.change([](auto& faults) { faults.outage = true; });
        CHECK_FALSE(fetch());
    }
}

TEST_SUITE_END();

}
