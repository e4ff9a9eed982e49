#include "platform/engine_run.h"
#include "platform/platform_fixture.h"
#include "support/no_free_descriptors.h"

namespace lycheefield {

using namespace std::chrono_literals;

TEST_SUITE_BEGIN("platform");

namespace {

WatchBatch lackOfResources()
{
    auto failed = failure(StoreStatus::Unavailable, 0);
    failed.cause = FailureCause::LocalResources;
    return failed;
}

}

TEST_CASE("Calls for which the process has no descriptor begin no pause of the client")
{
    PlatformClientSettings settings;
    settings.failuresBeforePause = 2;
    settings.initialBackoff = 1h;
    settings.maxBackoff = 1h;
    PlatformFixture platform(settings);
    std::size_t answers = 0;
    std::optional<std::size_t> all;
    std::vector<WatchBatch> failed;
    const auto onResponse = [&](const WatchBatch& batch) {
        failed.push_back(batch);
        if (++answers == 10)
            all = answers;
    };
    // The stand-in begins to accept while there are descriptors.
    platform.context.poll();
    std::optional<NoFreeDescriptors> none(std::in_place);
    for (int i = 0; i < 5; ++i) {
        platform.store->list("servers/", onResponse);
        platform.store->watch("servers/", 0, 1s, onResponse);
    }
    platform.await(all);
    none.reset();

    CHECK(platform.client->counters().refusedByPause == 0);
    for (const auto& it : failed) {
        CHECK(it.status == StoreStatus::Unavailable);
        CHECK(it.cause == FailureCause::LocalResources);
    }
    CHECK(platform.read("k").status == StoreStatus::NotFound);
}

TEST_CASE("A call that failed for lack of local resources is repeated soon, however often that was")
{
    constexpr Duration limit = 3s;
    constexpr Duration soon = 50ms;
    for (const std::uint32_t rank : { 0, 1, 5, 9 }) {
        CAPTURE(rank);
        EngineRun run(watchScheduleForRank(rank, limit), batchOf({ 4, 500 }));
        run.advance(limit);
        REQUIRE(run.watch);
        for (int i = 0; i < 200; ++i) {
            run.respond(lackOfResources());
            REQUIRE_FALSE(run.isCalling());
            run.advance(soon);
            REQUIRE(run.watch);
        }
        SUBCASE("The first call that goes out ends at once, so that the reachable store is noticed")
        {
            CHECK(run.watch->wait < soon);
        }
        SUBCASE("A failure of the store after it is the first one")
        {
            run.respond(failure(StoreStatus::Lost, 0));
            run.advance(soon);
            CHECK(run.watch);
        }
    }
}

TEST_CASE("An instance that lacked resources when it was to read missing changes reads them soon")
{
    EngineRun run(quiet, batchOf({ 4, 500 }));
    run.announce(batchOf({ 4, 520 }, { object("x", 520) }), { 4, 510 }, run.now);
    run.advance(1s);
    REQUIRE(run.watch);
    run.respond(failure(StoreStatus::Lost, 0));
    run.advance(1s);
    REQUIRE(run.watch);
    for (int i = 0; i < 10; ++i) {
        run.respond(lackOfResources());
        run.advance(50ms);
        REQUIRE(run.watch);
    }
}

TEST_SUITE_END();

}
