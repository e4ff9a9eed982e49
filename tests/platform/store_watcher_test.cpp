#include "platform/pending_watch_store.h"
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

TEST_SUITE_END();

}
