#include "platform/platform_fixture.h"
#include "platform/store_watcher.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_SUITE_BEGIN("platform");

TEST_CASE("A watcher sees every change, also those made in an outage")
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
    SUBCASE("a change is told once")
    {
        store.write("rules/current", ObjectVersion { 1 }, "two", TimePoint {});
        store.write("catalog/quotedesk", ObjectVersion {}, "elsewhere", TimePoint {});
        runUntil([&] { return seen.size() == 2; });
        CHECK(seen.back() == "two");
    }
    SUBCASE("an outage is told, and what was missed comes after it")
    {
        platform.change([](auto& faults) { faults.outage = true; });
        store.write("rules/current", ObjectVersion { 1 }, "refused", TimePoint {});
        runUntil([&] { return store.counters().watches > 0; });
        // The waiting watch ends when the outage is noticed, as on a change.
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

/// A store that answers a list at once and keeps its watches waiting.
class WaitingStore final : public ObjectStore {
public:
    void read(const std::string& key, ObjectHandler handler) override { handler(StoreStatus::NotFound, { key, {}, {} }); }
    void write(const std::string& key, ObjectVersion, const std::string&, ObjectHandler handler) override { handler(StoreStatus::Unavailable, { key, {}, {} }); }
    void list(const std::string&, ListHandler handler) override
    {
        ++lists;
        WatchBatch batch;
        batch.status = StoreStatus::Ok;
        batch.revision = 10;
        handler(batch);
    }
    void watch(const std::string&, std::uint64_t after, Duration wait, ListHandler handler) override
    {
        waits.push_back(wait);
        afters.push_back(after);
        waiting = std::move(handler);
    }

    int lists = 0;
    std::vector<Duration> waits;
    std::vector<std::uint64_t> afters;
    ListHandler waiting;
};

WatchBatch change(std::uint64_t revision, const std::string& key)
{
    WatchBatch batch;
    batch.status = StoreStatus::Ok;
    batch.revision = revision;
    batch.changed.push_back({ key, ObjectVersion { revision }, "value" });
    return batch;
}

}

TEST_CASE("A watcher relies on what other instances saw")
{
    boost::asio::io_context context;
    const auto store = std::make_shared<WaitingStore>();
    std::vector<std::string> seen;
    int told = 0;
    auto watcher = std::make_shared<StoreWatcher>(
        context.get_executor(), store, "servers/",
        [&](const WatchBatch& batch) {
            for (const auto& it : batch.changed)
                seen.push_back(it.key);
        },
        Backoff(1ms, 2ms, std::make_unique<SeededRandom>(7)));
    watcher->onSeen([&](const WatchBatch&, std::uint64_t, TimePoint) { ++told; });
    const BootClock clock;
    const auto settle = [&] {
        context.restart();
        context.poll();
    };

    SUBCASE("while it hears of them it does not ask the store")
    {
        watcher->setTurn({ std::chrono::hours(1), 1s, std::chrono::hours(1) });
        watcher->start();
        settle();
        CHECK(store->lists == 1);
        CHECK(store->waits.empty());
        watcher->offer(change(12, "servers/x"), 9, clock.now());
        settle();
        CHECK(seen == std::vector<std::string> { "servers/x" });

        SUBCASE("an older state does not undo a newer one")
        {
            watcher->offer(change(11, "servers/old"), 9, clock.now());
            settle();
            CHECK(seen.size() == 1);
        }
        SUBCASE("news after a gap are left out, and what lies between is asked for at once")
        {
            watcher->offer(change(20, "servers/y"), 15, clock.now());
            settle();
            CHECK(seen.size() == 1);
            context.restart();
            while (store->waits.empty() && context.run_one() > 0) { }
            CHECK(store->afters.back() == 12);

            SUBCASE("again and again while there are changes, as one answer need not hold them all")
            {
                store->waiting(change(14, "servers/x2"));
                context.restart();
                while (store->waits.size() < 2 && context.run_one() > 0) { }
                CHECK(store->afters.back() == 14);
                CHECK(store->waits.back() < 100ms);
                WatchBatch nothing;
                nothing.status = StoreStatus::Ok;
                nothing.revision = 14;
                store->waiting(nothing);
                settle();
                CHECK(store->waits.size() == 2);
            }
        }
        SUBCASE("when its turn to watch comes it goes on from there")
        {
            watcher->setTurn({ Duration {}, 1s, std::chrono::hours(1) });
            context.restart();
            while (store->waits.empty() && context.run_one() > 0) { }
            CHECK(store->afters.back() == 12);
            CHECK(store->waits.back() == 1s);
        }
    }
    SUBCASE("when it hears nothing it asks, without waiting at the store, and tells what it saw")
    {
        watcher->setTurn({ 1ms, 1s, 1ms });
        watcher->start();
        while (store->waits.empty() && (context.restart(), context.run_one()) > 0) { }
        REQUIRE(store->waits.size() == 1);
        CHECK(store->waits.back() < 100ms);
        store->waiting(change(13, "servers/z"));
        settle();
        CHECK(seen == std::vector<std::string> { "servers/z" });
        CHECK(told == 1);
    }
    SUBCASE("what it hears during its own call counts, and the call's older answer does not")
    {
        watcher->setTurn({ Duration {}, 1s, std::chrono::hours(1) });
        watcher->start();
        settle();
        REQUIRE(store->waits.size() == 1);
        watcher->offer(change(15, "servers/new"), 10, clock.now());
        settle();
        store->waiting(change(14, "servers/older"));
        settle();
        CHECK(seen == std::vector<std::string> { "servers/new" });
    }
    watcher->stop();
    settle();
}

TEST_CASE("Backoff doubles up to its limit, with jitter, and starts over after a success")
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
