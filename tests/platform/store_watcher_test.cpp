#include "platform/call_budget.h"
#include "platform/platform_fixture.h"
#include "platform/store_watcher.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_SUITE_BEGIN("platform");

TEST_CASE("A watcher sees every change, also those made in an outage")
{
    PlatformClientSettings settings;
    settings.backoffFirst = 1ms;
    settings.backoffMost = 2ms;
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

TEST_CASE("A call budget refills at its rate")
{
    CallBudget budget(10, 2);
    const TimePoint start { 1s };
    CHECK(budget.take(start));
    CHECK(budget.take(start));
    CHECK_FALSE(budget.take(start));
    CHECK_FALSE(budget.take(start + 99ms));
    CHECK(budget.take(start + 100ms));
    CHECK_FALSE(budget.take(start + 100ms));
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
