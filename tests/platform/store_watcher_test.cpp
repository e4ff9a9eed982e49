#include "platform/platform_fixture.h"
#include "platform/store_watcher.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_SUITE_BEGIN("platform");

TEST_CASE("A watcher reports every change, including those made during an outage")
{
    PlatformClientSettings settings;
    settings.initialBackoff = 1ms;
    settings.maxBackoff = 2ms;
    PlatformFixture platform(settings);
    platform.write("rules/current", 0, "one");

    std::vector<std::string> seen;
    std::vector<StoreStatus> errors;
    auto watcher = std::make_shared<StoreWatcher>(
        platform.context.get_executor(), platform.store, "rules/",
        [&](const WatchBatch& batch) {
            if (batch.status != StoreStatus::Ok)
                errors.push_back(batch.status);
            for (const auto& it : batch.changed)
                seen.push_back(it.value);
        },
        Backoff(1ms, 2ms, std::make_unique<SeededRandom>(7)));
    watcher->start();
    const auto runUntil = [&](auto isReached) {
        platform.context.restart();
        while (!isReached() && platform.context.run_one() > 0) { }
    };
    runUntil([&] { return seen.size() == 1; });
    CHECK(seen == std::vector<std::string> { "one" });

    auto& store = platform.server.store();
    SUBCASE("The watcher reports a change below its prefix once")
    {
        store.write("rules/current", ObjectVersion { 1 }, "two", TimePoint {});
        store.write("catalog/quotedesk", ObjectVersion {}, "elsewhere", TimePoint {});
        runUntil([&] { return seen.size() == 2; });
        CHECK(seen.back() == "two");
    }
    SUBCASE("The watcher reports an outage, and after it the changes made meanwhile")
    {
        platform.change([](auto& faults) { faults.outage = true; });
        store.write("rules/current", ObjectVersion { 1 }, "refused", TimePoint {});
        runUntil([&] { return store.counters().watches > 0; });
        // The stand-in ends a waiting watch during an outage, as it does on a change.
        platform.change([](auto& faults) { faults.outage = false; });
        store.write("rules/current", ObjectVersion { 1 }, "two", TimePoint {});
        platform.change([](auto& faults) { faults.outage = true; });
        runUntil([&] { return errors.size() >= 3; });
        platform.change([](auto& faults) { faults.outage = false; });
        runUntil([&] { return seen.size() == 2; });
        CHECK(seen.back() == "two");
        CHECK(errors.front() == StoreStatus::Unavailable);
    }
    watcher->stop();
}

namespace {

/// A store that responds to a list at once and leaves each watch in flight until the test completes it.
class PendingWatchStore final : public ObjectStore {
public:
    void read(const std::string& key, ObjectHandler handler) override { handler(StoreStatus::NotFound, { key, {}, {} }); }
    void write(const std::string& key, ObjectVersion, const std::string&, ObjectHandler handler) override { handler(StoreStatus::Unavailable, { key, {}, {} }); }
    void list(const std::string&, ListHandler handler) override
    {
        ++lists;
        if (holdsLists)
            completeList = std::move(handler);
        else
            handler(listed);
    }
    void watch(const std::string&, std::uint64_t after, Duration wait, ListHandler handler) override
    {
        requestedWaits.push_back(wait);
        requestedRevisions.push_back(after);
        completeWatch = std::move(handler);
    }

    static WatchBatch emptyList()
    {
        WatchBatch batch;
        batch.status = StoreStatus::Ok;
        batch.revision.number = 10;
        return batch;
    }

    int lists = 0;
    WatchBatch listed = emptyList(); ///< The response to each list.
    bool holdsLists = false; ///< Lists stay in flight until the test completes them.
    ListHandler completeList;
    std::vector<Duration> requestedWaits;
    std::vector<std::uint64_t> requestedRevisions;
    ListHandler completeWatch;
};

StoreRevision revision(std::uint64_t number)
{
    return { 0, number };
}

WatchBatch change(std::uint64_t revision, const std::string& key)
{
    WatchBatch batch;
    batch.status = StoreStatus::Ok;
    batch.revision.number = revision;
    batch.changed.push_back({ key, ObjectVersion { revision }, "value" });
    return batch;
}

}

TEST_CASE("A watcher relies on the changes that other instances announce")
{
    boost::asio::io_context context;
    const auto store = std::make_shared<PendingWatchStore>();
    std::vector<std::string> seen;
    int announced = 0;
    auto watcher = std::make_shared<StoreWatcher>(
        context.get_executor(), store, "servers/",
        [&](const WatchBatch& batch) {
            for (const auto& it : batch.changed)
                seen.push_back(it.key);
        },
        Backoff(1ms, 2ms, std::make_unique<SeededRandom>(7)));
    watcher->setAnnounceHandler([&](const WatchBatch&, StoreRevision, TimePoint) { ++announced; });
    const BootClock clock;
    const auto runReadyHandlers = [&] {
        context.restart();
        context.poll();
    };

    SUBCASE("The watcher does not call the store while others announce in time")
    {
        watcher->setSchedule({ std::chrono::hours(1), 1s, std::chrono::hours(1) });
        watcher->start();
        runReadyHandlers();
        CHECK(store->lists == 1);
        CHECK(store->requestedWaits.empty());
        watcher->onAnnouncement(change(12, "servers/x"), revision(9), clock.now());
        runReadyHandlers();
        CHECK(seen == std::vector<std::string> { "servers/x" });

        SUBCASE("The watcher drops the changes of an announcement older than its revision")
        {
            watcher->onAnnouncement(change(11, "servers/old"), revision(9), clock.now());
            runReadyHandlers();
            CHECK(seen.size() == 1);
        }
        SUBCASE("The watcher drops an announcement after a gap and calls the store for the missing changes at once")
        {
            watcher->onAnnouncement(change(20, "servers/y"), revision(15), clock.now());
            runReadyHandlers();
            CHECK(seen.size() == 1);
            context.restart();
            while (store->requestedWaits.empty() && context.run_one() > 0) { }
            CHECK(store->requestedRevisions.back() == 12);

            SUBCASE("The watcher repeats the call until a response has no changes, as one response need not hold all of them")
            {
                store->completeWatch(change(14, "servers/x2"));
                context.restart();
                while (store->requestedWaits.size() < 2 && context.run_one() > 0) { }
                CHECK(store->requestedRevisions.back() == 14);
                CHECK(store->requestedWaits.back() < 100ms);
                WatchBatch noChanges;
                noChanges.status = StoreStatus::Ok;
                noChanges.revision.number = 14;
                store->completeWatch(noChanges);
                runReadyHandlers();
                CHECK(store->requestedWaits.size() == 2);
            }
        }
        SUBCASE("A watcher that is to watch all the time continues from the announced revision")
        {
            watcher->setSchedule({ Duration {}, 1s, std::chrono::hours(1) });
            context.restart();
            while (store->requestedWaits.empty() && context.run_one() > 0) { }
            CHECK(store->requestedRevisions.back() == 12);
            CHECK(store->requestedWaits.back() == 1s);
        }
    }
    SUBCASE("After a silence the watcher calls the store with a short wait and announces the changes")
    {
        watcher->setSchedule({ 1ms, 1s, 1ms });
        watcher->start();
        while (store->requestedWaits.empty() && (context.restart(), context.run_one()) > 0) { }
        REQUIRE(store->requestedWaits.size() == 1);
        CHECK(store->requestedWaits.back() < 100ms);
        store->completeWatch(change(13, "servers/z"));
        runReadyHandlers();
        CHECK(seen == std::vector<std::string> { "servers/z" });
        CHECK(announced == 1);
    }
    SUBCASE("An announcement during a call in flight is applied, and the call's older response is dropped")
    {
        watcher->setSchedule({ Duration {}, 1s, std::chrono::hours(1) });
        watcher->start();
        runReadyHandlers();
        REQUIRE(store->requestedWaits.size() == 1);
        watcher->onAnnouncement(change(15, "servers/new"), revision(10), clock.now());
        runReadyHandlers();
        store->completeWatch(change(14, "servers/older"));
        runReadyHandlers();
        CHECK(seen == std::vector<std::string> { "servers/new" });
    }
    watcher->stop();
    runReadyHandlers();
}

namespace {

WatchBatch batchOf(std::uint64_t revision, const std::vector<StoredObject>& objects)
{
    WatchBatch batch;
    batch.status = StoreStatus::Ok;
    batch.revision.number = revision;
    batch.changed = objects;
    return batch;
}

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

TEST_CASE("A watcher's proof counts from the sending of a call, never from its response")
{
    boost::asio::io_context context;
    const auto store = std::make_shared<PendingWatchStore>();
    store->holdsLists = true;
    TimePoint confirmed;
    TimePoint announced;
    auto watcher = std::make_shared<StoreWatcher>(
        context.get_executor(), store, "config/", [&](const WatchBatch& batch) { confirmed = batch.confirmedAt; }, Backoff(1ms, 2ms, std::make_unique<SeededRandom>(7)));
    watcher->setAnnounceHandler([&](const WatchBatch& batch, StoreRevision, TimePoint) { announced = batch.confirmedAt; });
    const BootClock clock;
    const auto runReadyHandlers = [&] {
        context.restart();
        context.poll();
    };
    watcher->setSchedule({ Duration {}, 1s, 1h });
    watcher->start();
    runReadyHandlers();
    REQUIRE(store->lists == 1);
    const auto afterList = clock.now();
    store->completeList(batchOf(10, {}));
    runReadyHandlers();
    CHECK(confirmed > TimePoint {});
    CHECK(confirmed <= afterList);
    REQUIRE(store->requestedWaits.size() == 1);
    const auto ofList = confirmed;
    const auto afterWatch = clock.now();

    SUBCASE("a watch without changes proves the state of its sending, and is announced as such")
    {
        store->completeWatch(batchOf(10, {}));
        runReadyHandlers();
        CHECK(confirmed > ofList);
        CHECK(confirmed <= afterWatch);
        CHECK(announced == confirmed);
    }
    SUBCASE("a response with changes, an older one and a failed one prove nothing")
    {
        for (const auto& response : { change(12, "config/main"), batchOf(9, {}), WatchBatch {} }) {
            store->completeWatch(response);
            runReadyHandlers();
            CHECK((confirmed == ofList || confirmed == TimePoint {}));
        }
    }
    SUBCASE("another instance's proof counts as it was given, once its changes are known")
    {
        auto news = change(12, "config/main");
        news.confirmedAt = clock.now() + 1h;
        watcher->onAnnouncement(news, revision(11), clock.now());
        runReadyHandlers();
        CHECK(confirmed == ofList);
        watcher->onAnnouncement(news, revision(10), clock.now());
        runReadyHandlers();
        CHECK(confirmed == news.confirmedAt);
        WatchBatch known;
        watcher->state([&](const WatchBatch& batch, TimePoint) { known = batch; });
        runReadyHandlers();
        CHECK(known.confirmedAt == news.confirmedAt);
    }
    SUBCASE("with an old proof the watcher calls the store although announcements look recent")
    {
        store->completeWatch(batchOf(10, {}));
        runReadyHandlers();
        watcher->setSchedule({ 1h, 1ms, 1h, {}, {}, 1h, 2ms });
        runReadyHandlers();
        const auto before = store->requestedWaits.size();
        store->completeWatch(batchOf(10, {}));
        watcher->onAnnouncement(batchOf(11, {}), revision(10), clock.now());
        context.restart();
        while (store->requestedWaits.size() == before && context.run_one() > 0) { }
        CHECK(store->requestedWaits.size() == before + 1);
    }
    watcher->stop();
    runReadyHandlers();
}

TEST_CASE("Backoff doubles the delay up to its limit, with jitter, and starts over after a success")
{
    Backoff backoff(10ms, 40ms, std::make_unique<SeededRandom>(3));
    for (const Duration longest : { 10ms, 20ms, 40ms, 40ms }) {
        const auto delay = backoff.onFailure();
        CHECK(delay >= longest / 2);
        CHECK(delay <= longest);
    }
    CHECK(backoff.failures() == 4);
    backoff.onSuccess();
    CHECK(backoff.onFailure() <= 10ms);
}

TEST_SUITE_END();

}
