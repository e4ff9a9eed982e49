#include "published_store.h"

#include "wire_names.h"

#include "platform/store_watcher.h"
#include "standin/published_store.h"
#include "support/no_free_descriptors.h"
#include "support/scripted_server.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <utility>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// A stand-in store and a client of it, on one io_context that only the test's thread runs.
struct StoreFixture {
    StoreFixture()
        : server(io)
    {
        PlatformClientSettings settings;
        settings.endpoint = server.listen().value();
        settings.initialBackoff = 1ms;
        settings.maxBackoff = 2ms;
        settings.callTimeout = 5s;
        settings.connectTimeout = 5s;
        settings.watchTimeout = 20ms;
        settings.epochHeader = wire::storeEpoch;
        store = std::make_shared<PublishedStore>(std::make_shared<PlatformClient>(io.get_executor(), settings), metrics);
    }

    template <typename Reached>
    void runUntil(Reached isReached)
    {
        io.restart();
        while (!isReached() && io.run_one() > 0) { }
    }

    boost::asio::io_context io { 1 };
    standin::PublishedStoreServer server;
    Metrics metrics;
    std::shared_ptr<PublishedStore> store;
};

std::vector<std::string> keysOf(const WatchBatch& batch)
{
    std::vector<std::string> keys;
    for (const auto& it : batch.changed)
        keys.push_back(it.key);
    return keys;
}

}

TEST_CASE("PublishedStore lists the objects of all pages" * doctest::test_suite("adapter"))
{
    StoreFixture fixture;
    for (const auto* it : { "a", "b", "c", "d", "e" })
        fixture.server.put("servers", it, "{\"n\":1}");
    std::optional<WatchBatch> batch;
    fixture.store->list("servers/", [&](WatchBatch it) { batch = std::move(it); });
    fixture.runUntil([&] { return batch.has_value(); });
    CHECK(batch->status == StoreStatus::Ok);
    CHECK(keysOf(*batch) == std::vector<std::string> { "servers/a", "servers/b", "servers/c", "servers/d", "servers/e" });
    CHECK(batch->changed[0].value == "{\"n\":1}");
    // Five objects on pages of two are three calls.
    CHECK(fixture.metrics.counter(R"(lycheefield_store_calls_total{objects="servers",call="list"})").value() == 3);
}

TEST_CASE("A list whose pages are of different epochs of the store fails" * doctest::test_suite("adapter"))
{
    StoreFixture fixture;
    for (const auto* it : { "a", "b", "c" })
        fixture.server.put("servers", it, "{}");
    std::optional<WatchBatch> batch;
    fixture.store->list("servers/", [&](WatchBatch it) { batch = std::move(it); });
    fixture.runUntil([&] { return fixture.server.calls() == 1; });
    fixture.server.setNamesEpoch(false);
    fixture.runUntil([&] { return batch.has_value(); });
    CHECK(batch->status == StoreStatus::Lost);
    CHECK(batch->changed.empty());
}

// Guards against a list that begins again and again at once: each page costs the store a call.
TEST_CASE("A list of which pages were sent before a descriptor lacked has failed at the store" * doctest::test_suite("adapter"))
{
    const std::string page = R"({"items":[{"meta":{"name":"a","revision":1},"spec":{}}],"atRev":1,"hasMore":true})";
    boost::asio::io_context io { 1 };
    ScriptedServer server(io, { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(page.size()) + "\r\n\r\n" + page, "", true });
    PlatformClientSettings settings;
    settings.endpoint = server.endpoint();
    Metrics metrics;
    PublishedStore store(std::make_shared<PlatformClient>(io.get_executor(), settings), metrics);
    std::optional<WatchBatch> batch;
    const auto list = [&](std::size_t requestsBefore) {
        store.list("servers/", [&](WatchBatch it) { batch = std::move(it); });
        while (server.requests() < requestsBefore)
            io.run_one();
        const NoFreeDescriptors none;
        while (!batch)
            io.run_one();
        return batch->cause;
    };
    SUBCASE("after the first page")
    {
        CHECK(list(1) == FailureCause::Store);
        CHECK(batch->why.find("Too many open files") != std::string::npos);
    }
    SUBCASE("before it, nothing was sent")
    {
        io.poll();
        CHECK(list(0) == FailureCause::LocalResources);
    }
}

TEST_CASE("A list that is read while the store changes tells up to which revision it may hold changes" * doctest::test_suite("adapter"))
{
    StoreFixture fixture;
    for (const auto* it : { "a", "b", "c" })
        fixture.server.put("servers", it, "{}");
    const auto before = fixture.server.revision();
    std::optional<WatchBatch> batch;
    fixture.store->list("servers/", [&](WatchBatch it) { batch = std::move(it); });
    SUBCASE("with a change between two pages")
    {
        fixture.runUntil([&] { return fixture.server.calls() == 1; });
        fixture.server.put("servers", "d", "{}");
        fixture.runUntil([&] { return batch.has_value(); });
        CHECK(batch->revision.number == before);
        CHECK(batch->mixedUpTo == before + 1);
    }
    SUBCASE("without one")
    {
        fixture.runUntil([&] { return batch.has_value(); });
        CHECK(batch->revision.number == before);
        CHECK(batch->mixedUpTo == 0);
    }
}

TEST_CASE("Reads and writes tell the store's epoch with the object" * doctest::test_suite("adapter"))
{
    StoreFixture fixture;
    std::optional<StoredObject> object;
    const auto handler = [&](StoreStatus, const StoredObject& it) { object = it; };
    const auto epochOf = [&] {
        fixture.runUntil([&] { return object.has_value(); });
        return std::exchange(object, {})->epoch;
    };
    fixture.store->write("gateways/g1", {}, "{}", handler);
    CHECK(epochOf() == 1);
    fixture.store->write("gateways/g1", {}, "{}", handler);
    CHECK(epochOf() == 1);
    fixture.server.saveCopy();
    fixture.server.restoreCopy();
    fixture.store->read("gateways/g1", handler);
    CHECK(epochOf() == 2);
    fixture.store->read("gateways/none", handler);
    CHECK(epochOf() == 2);
    fixture.server.setNamesEpoch(false);
    fixture.store->read("gateways/g1", handler);
    CHECK(epochOf() == 0);
}

TEST_CASE("One odd entry of another writer hides neither the list nor the changes of the others" * doctest::test_suite("adapter"))
{
    const auto nested = std::string(200, '[') + std::string(200, ']');
    const std::vector<std::string> oddSpecs {
        "{\"slots\":" + nested + "}",
        nested,
        "{\"slots\":1e99999999999}",
        "{\"slots\":123456789012345678901234567890123456789012345678901234567890}",
        "{\"zone\":\"hue-\\udcff\"}",
        "{\"zone\":\"hue-\xff\xfe\"}",
        "{\"address\":\"10.0.0.1:99999\"}",
        "null",
    };
    for (const auto& odd : oddSpecs) {
        CAPTURE(odd);
        StoreFixture fixture;
        fixture.server.put("servers", "a", "{\"n\":1}");
        fixture.server.put("servers", "b", odd);
        fixture.server.put("servers", "c", "{\"n\":3}");
        std::vector<WatchBatch> batches;
        auto watcher = std::make_shared<StoreWatcher>(
            fixture.io.get_executor(), fixture.store, "servers/", [&](const WatchBatch& it) { batches.push_back(it); }, Backoff(1ms, 2ms, std::make_unique<SeededRandom>(7)));
        watcher->start();
        fixture.runUntil([&] { return !batches.empty(); });
        REQUIRE(batches.front().status == StoreStatus::Ok);
        CHECK(keysOf(batches.front()) == std::vector<std::string> { "servers/a", "servers/b", "servers/c" });
        CHECK(batches.front().changed[2].value == "{\"n\":3}");

        batches.clear();
        fixture.server.put("servers", "d", odd);
        fixture.server.put("servers", "e", "{\"n\":5}");
        fixture.runUntil([&] { return !batches.empty() && !batches.back().changed.empty() && batches.back().changed.back().key == "servers/e"; });
        for (const auto& it : batches)
            CHECK(it.status == StoreStatus::Ok);
        watcher->stop();
    }
}

TEST_CASE("PublishedStore creates and updates an object, and reports a conflict for a stale version" * doctest::test_suite("adapter"))
{
    StoreFixture fixture;
    std::optional<StoreStatus> status;
    ObjectVersion version;
    const auto write = [&](ObjectVersion expected) {
        status.reset();
        fixture.store->write("gateways/g1", expected, "{\"refreshes\":1}", [&](StoreStatus it, const StoredObject& object) {
            status = it;
            version = object.version;
        });
        fixture.runUntil([&] { return status.has_value(); });
        return *status;
    };
    CHECK(write({}) == StoreStatus::Ok);
    const auto first = version;
    CHECK(write(first) == StoreStatus::Ok);
    const auto second = version;
    CHECK(second > first);
    CHECK(write(first) == StoreStatus::Conflict);
    CHECK(version == second);
    CHECK(write({}) == StoreStatus::Conflict);
}

TEST_CASE("PublishedStore removes an object at the version that was seen only" * doctest::test_suite("adapter"))
{
    StoreFixture fixture;
    fixture.server.put("gateways", "g1", "{}");
    std::optional<WatchBatch> batch;
    const auto list = [&] {
        batch.reset();
        fixture.store->list("gateways/", [&](WatchBatch it) { batch = std::move(it); });
        fixture.runUntil([&] { return batch.has_value(); });
        return batch->changed;
    };
    const auto remove = [&](ObjectVersion expected) {
        std::optional<StoreStatus> status;
        fixture.store->remove("gateways/g1", expected, [&](StoreStatus it) { status = it; });
        fixture.runUntil([&] { return status.has_value(); });
        return *status;
    };
    const auto seen = list().at(0).version;
    fixture.server.put("gateways", "g1", "{}");
    CHECK(remove(seen) == StoreStatus::Conflict);
    CHECK(remove(list().at(0).version) == StoreStatus::Ok);
    CHECK(list().empty());
    CHECK(remove(seen) == StoreStatus::NotFound);
}

TEST_CASE("A StoreWatcher follows the published store" * doctest::test_suite("adapter"))
{
    StoreFixture fixture;
    fixture.server.put("servers", "a", "{\"n\":1}");
    std::vector<WatchBatch> batches;
    auto watcher = std::make_shared<StoreWatcher>(
        fixture.io.get_executor(), fixture.store, "servers/", [&](const WatchBatch& it) { batches.push_back(it); }, Backoff(1ms, 2ms, std::make_unique<SeededRandom>(7)));
    watcher->start();
    const auto reached = [&](auto matches) {
        fixture.runUntil([&] { return !batches.empty() && matches(batches.back()); });
        return batches.back();
    };
    CHECK(reached([](const auto& it) { return it.isFullList; }).changed.size() == 1);

    SUBCASE("the watcher reports changed and removed objects")
    {
        fixture.server.put("servers", "b", "{\"n\":2}");
        CHECK(keysOf(reached([](const auto& it) { return !it.changed.empty() && !it.isFullList; })) == std::vector<std::string> { "servers/b" });
        fixture.server.remove("servers", "a");
        CHECK(reached([](const auto& it) { return !it.removed.empty(); }).removed == std::vector<std::string> { "servers/a" });
    }
    SUBCASE("the watcher lists all objects again when the store no longer has the history after its revision")
    {
        batches.clear();
        fixture.server.put("config", "main", "{}");
        fixture.server.forgetHistory();
        fixture.server.put("servers", "b", "{\"n\":2}");
        CHECK(reached([](const auto& it) { return it.isFullList; }).changed.size() == 2);
    }
    SUBCASE("the watcher reports an outage, and its end without waiting for a change")
    {
        fixture.server.setFaults({ .isBusy = true });
        CHECK(reached([](const auto& it) { return it.status != StoreStatus::Ok; }).status == StoreStatus::Unavailable);
        fixture.server.setFaults({});
        CHECK(reached([](const auto& it) { return it.status == StoreStatus::Ok; }).changed.empty());
    }
    SUBCASE("the watcher gives up a connection that has become silent")
    {
        fixture.server.setFaults({ .isSilent = true });
        CHECK(reached([](const auto& it) { return it.status != StoreStatus::Ok; }).status == StoreStatus::Lost);
    }
    watcher->stop();
}

TEST_CASE("A StoreWatcher follows the store when it comes back from an older copy" * doctest::test_suite("adapter"))
{
    for (const int lostChanges : { 2, 20 }) {
        for (const bool namesEpoch : { true, false }) {
            CAPTURE(lostChanges);
            CAPTURE(namesEpoch);
            // Of a store that names no epochs nothing tells that revisions are given out again.
            if (!namesEpoch && lostChanges == 2)
                continue;
            StoreFixture fixture;
            fixture.server.setFaults({ .pageSize = 100 });
            fixture.server.setNamesEpoch(namesEpoch);
            fixture.server.put("servers", "kept", "{}");
            fixture.server.saveCopy();
            for (int i = 0; i < lostChanges; ++i)
                fixture.server.put("servers", "lost", std::to_string(i));
            std::map<std::string, std::string> known;
            int newEpochs = 0;
            auto watcher = std::make_shared<StoreWatcher>(
                fixture.io.get_executor(), fixture.store, "servers/", [&](const WatchBatch& batch) {
                    newEpochs += batch.isNewEpoch ? 1 : 0;
                    if (batch.isFullList)
                        known.clear();
                    for (const auto& it : batch.changed)
                        known[it.key] = it.value;
                },
                Backoff(1ms, 2ms, std::make_unique<SeededRandom>(7)));
            watcher->start();
            fixture.runUntil([&] { return known.size() == 2; });

            fixture.server.restoreCopy();
            for (const auto* it : { "changed", "changed again" })
                fixture.server.put("servers", "new", "\"" + std::string(it) + "\"");
            const auto calls = fixture.server.calls();
            fixture.runUntil([&] { return known.contains("servers/new") || fixture.server.calls() > calls + 100; });
            CHECK(known == std::map<std::string, std::string> { { "servers/kept", "{}" }, { "servers/new", "\"changed again\"" } });
            CHECK(newEpochs == 1);
            watcher->stop();
        }
    }
}

}
