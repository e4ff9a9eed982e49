#include "platform/pending_watch_store.h"
#include "platform/store_watcher.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_SUITE_BEGIN("platform");

namespace {

StoredObject object(const std::string& key, std::uint64_t version)
{
    return { key, ObjectVersion { version }, "value" };
}

/// What a watcher reported to its handler and announced to other instances.
struct Announcement {
    WatchBatch batch;
    std::uint64_t fromRevision = 0;
};

std::vector<std::string> changedKeys(const WatchBatch& batch)
{
    std::vector<std::string> keys;
    for (const auto& it : batch.changed)
        keys.push_back(it.key);
    return keys;
}

}

TEST_CASE("The loss of the store's history and the start of an instance cost one call and not one call by every instance")
{
    boost::asio::io_context context;
    const auto store = std::make_shared<PendingWatchStore>();
    std::vector<WatchBatch> seen;
    std::vector<Announcement> announced;
    auto watcher = std::make_shared<StoreWatcher>(
        context.get_executor(), store, "servers/", [&](const WatchBatch& batch) { seen.push_back(batch); }, Backoff(1ms, 2ms, std::make_unique<SeededRandom>(7)));
    watcher->setAnnounceHandler([&](const WatchBatch& batch, StoreRevision from, TimePoint) { announced.push_back({ batch, from.number }); });
    const BootClock clock;
    const auto runReadyHandlers = [&] {
        context.restart();
        context.poll();
    };
    constexpr Duration hour = std::chrono::hours(1);

    SUBCASE("The instance that watches lists again and announces the difference, so that the others need no list")
    {
        store->listed = batchOf(10, { object("servers/a", 4), object("servers/b", 5) });
        watcher->setSchedule({ Duration {}, 1s, hour });
        watcher->start();
        runReadyHandlers();
        CHECK(announced.empty());
        WatchBatch expired;
        expired.status = StoreStatus::HistoryExpired;
        store->listed = batchOf(20, { object("servers/b", 5), object("servers/c", 18) });
        store->completeWatch(expired);
        runReadyHandlers();
        CHECK(store->lists == 2);
        REQUIRE(announced.size() == 1);
        CHECK(announced[0].fromRevision == 10);
        CHECK(announced[0].batch.revision.number == 20);
        CHECK(changedKeys(announced[0].batch) == std::vector<std::string> { "servers/c" });
        CHECK(announced[0].batch.removed == std::vector<std::string> { "servers/a" });
    }
    SUBCASE("An instance that starts takes the state of another one and does not list")
    {
        watcher->setSchedule({ hour, 1s, hour, {}, {}, hour });
        watcher->onAnnouncement(batchOf(30, { object("servers/a", 4) }), revision(0), clock.now());
        watcher->start();
        runReadyHandlers();
        CHECK(store->lists == 0);
        REQUIRE(seen.size() == 1);
        CHECK(seen[0].isFullList);

        SUBCASE("and passes the state on to the next one, with the changes since")
        {
            watcher->onAnnouncement(change(31, "servers/b"), revision(30), clock.now());
            WatchBatch known;
            watcher->state([&](const WatchBatch& batch, TimePoint) { known = batch; });
            runReadyHandlers();
            CHECK(known.revision.number == 31);
            CHECK(changedKeys(known) == std::vector<std::string> { "servers/a", "servers/b" });
        }
        SUBCASE("and a list of an earlier revision does not bring removed objects back")
        {
            watcher->onAnnouncement(batchOf(29, { object("servers/old", 3) }), revision(0), clock.now());
            runReadyHandlers();
            CHECK(seen.back().changed.empty());
            CHECK_FALSE(seen.back().isFullList);
        }
    }
    SUBCASE("State older than the silence allows is followed by a call to the store for the changes since")
    {
        watcher->setSchedule({ 1s, 1s, 1s, {}, {}, 10s });
        watcher->onAnnouncement(batchOf(30, { object("servers/a", 4) }), revision(0), clock.now() - 5s);
        watcher->start();
        runReadyHandlers();
        CHECK(store->lists == 0);
        CHECK(store->requestedRevisions == std::vector<std::uint64_t> { 30 });
    }
    SUBCASE("State of an instance that could not reach the store for long is not taken, so that no server that left is used")
    {
        watcher->setSchedule({ 1s, 1s, 1s, {}, {}, 10s });
        watcher->onAnnouncement(batchOf(30, { object("servers/left", 4) }), revision(0), clock.now() - 60s);
        watcher->start();
        runReadyHandlers();
        CHECK(store->lists == 1);
        for (const auto& it : seen)
            CHECK(it.changed.empty());
    }
    SUBCASE("An instance that knows nothing itself leads the one that asks to the store")
    {
        WatchBatch known;
        watcher->state([&](const WatchBatch& batch, TimePoint) { known = batch; });
        watcher->setSchedule({ hour, 1s, hour });
        watcher->onAnnouncement(batchOf(0, {}), revision(0), clock.now());
        watcher->start();
        runReadyHandlers();
        CHECK(known.revision.number == 0);
        CHECK(store->lists == 1);
    }
    SUBCASE("A list that was slower than the state of another instance is dropped when it is older")
    {
        store->holdsLists = true;
        watcher->setSchedule({ hour, 1s, hour, {}, {}, hour });
        watcher->start();
        runReadyHandlers();
        watcher->onAnnouncement(batchOf(30, { object("servers/a", 4) }), revision(0), clock.now());
        runReadyHandlers();
        store->completeList(batchOf(20, { object("servers/old", 3) }));
        runReadyHandlers();
        CHECK(seen.back().changed.empty());
        CHECK_FALSE(seen.back().isFullList);
    }
    SUBCASE("The instance that watches repeats a single failed call at once, and leaves the store to others after more")
    {
        watcher->setSchedule({ Duration {}, 1s, hour });
        watcher->start();
        runReadyHandlers();
        REQUIRE(store->requestedWaits.size() == 1);
        store->completeWatch({});
        context.restart();
        while (store->requestedWaits.size() < 2 && context.run_one() > 0) { }
        store->completeWatch({});
        context.restart();
        context.run_for(20ms);
        CHECK(store->requestedWaits.size() == 2);
    }
    SUBCASE("Changes that keep coming leave no proof, but the instances that hear of them do not all call the store")
    {
        watcher->setSchedule({ 10s, 10s, 10s, {}, {}, 20s });
        watcher->onAnnouncement(batchOf(30, { object("servers/a", 4) }), revision(0), clock.now() - 15s);
        watcher->onAnnouncement(change(31, "servers/x"), revision(30), clock.now() - 15s);
        watcher->start();
        runReadyHandlers();
        CHECK(store->requestedWaits.empty());
        CHECK(changedKeys(seen.back()) == std::vector<std::string> { "servers/x" });
    }
    SUBCASE("Without a proof for too long an instance calls the store although it hears of changes")
    {
        watcher->setSchedule({ 10s, 10s, 10s, {}, {}, hour });
        watcher->onAnnouncement(batchOf(30, { object("servers/a", 4) }), revision(0), clock.now() - 25s);
        watcher->setSchedule({ 10s, 10s, 10s, {}, {}, 20s });
        watcher->onAnnouncement(change(31, "servers/x"), revision(30), clock.now() - 60s);
        watcher->start();
        runReadyHandlers();
        CHECK(store->requestedRevisions == std::vector<std::uint64_t> { 31 });
    }
    SUBCASE("After a gap an announcement that proves a later state makes the call needless")
    {
        watcher->setSchedule({ hour, 1s, hour, hour });
        watcher->start();
        runReadyHandlers();
        watcher->onAnnouncement(change(20, "servers/y"), revision(15), clock.now());
        watcher->onAnnouncement(batchOf(21, { object("servers/x", 12), object("servers/y", 20) }), revision(10), clock.now() + 1s);
        runReadyHandlers();
        CHECK(store->requestedWaits.empty());
        CHECK(changedKeys(seen.back()).size() == 2);
    }
    watcher->stop();
    runReadyHandlers();
}

TEST_SUITE_END();

}
