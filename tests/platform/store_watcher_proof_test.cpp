#include "platform/pending_watch_store.h"
#include "platform/store_watcher.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_SUITE_BEGIN("platform");

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

TEST_SUITE_END();

}
