#include "platform/engine_run.h"
#include "platform/platform_fixture.h"

namespace lycheefield {

using namespace std::chrono_literals;

TEST_SUITE_BEGIN("platform");

namespace {

constexpr Duration limit = 3s;
constexpr Duration soon = 50ms;

WatchBatch refusedByPause(Duration left)
{
    auto failed = failure(StoreStatus::Unavailable, 0);
    failed.cause = FailureCause::ClientPause;
    failed.pauseLeft = left;
    return failed;
}

}

TEST_CASE("A call that the client refuses for its pause tells how long that lasts")
{
    PlatformClientSettings settings;
    settings.failuresBeforePause = 2;
    settings.initialBackoff = 1h;
    settings.maxBackoff = 1h;
    PlatformFixture platform(settings);
    platform.change([](auto& faults) { faults.outage = true; });
    std::optional<WatchBatch> batch;
    const auto list = [&] {
        batch.reset();
        platform.store->list("servers/", [&](const WatchBatch& it) { batch = it; });
        return platform.await(batch);
    };
    for (int i = 0; i < 2; ++i) {
        const auto rejected = list();
        CHECK(rejected.cause == FailureCause::Store);
        CHECK(rejected.pauseLeft == Duration {});
    }
    const auto refused = list();
    CHECK(refused.status == StoreStatus::Unavailable);
    CHECK(refused.cause == FailureCause::ClientPause);
    // The pause lasts half an hour to an hour.
    CHECK(refused.pauseLeft > 15min);
    CHECK(refused.pauseLeft <= 1h);
}

TEST_CASE("A watcher whose call the client refused for its pause calls again when the pause ends")
{
    for (const std::uint32_t rank : { 0, 1, 2, 3, 9 }) {
        for (const int failuresBefore : { 0, 1, 5 }) {
            CAPTURE(rank);
            CAPTURE(failuresBefore);
            EngineRun run(watchScheduleForRank(rank, limit), batchOf({ 4, 500 }));
            for (int i = 0; i < failuresBefore; ++i) {
                run.advance(limit);
                REQUIRE(run.watch);
                run.respond(failure(StoreStatus::Lost, 0));
            }
            run.advance(limit);
            for (int i = 0; i < 10; ++i) {
                REQUIRE(run.watch);
                run.respond(refusedByPause(200ms));
                run.advance(199ms);
                CHECK_FALSE(run.isCalling());
                run.advance(1ms);
            }
            REQUIRE(run.watch);
        }
    }
}

TEST_CASE("Calls that the client refused for its pause are no failures of the store")
{
    EngineRun run(watchScheduleForRank(9, limit), batchOf({ 4, 500 }));
    run.advance(limit);
    for (int i = 0; i < 10; ++i) {
        REQUIRE(run.watch);
        run.respond(refusedByPause(200ms));
        run.advance(200ms);
    }
    REQUIRE(run.watch);
    run.respond(failure(StoreStatus::Lost, 0));
    run.advance(soon);
    CHECK(run.watch);
}

TEST_CASE("Missing changes are read when the client's pause ends, also after failures of the store")
{
    EngineRun run(quiet, batchOf({ 4, 500 }));
    run.announce(batchOf({ 4, 520 }, { object("x", 520) }), { 4, 510 }, run.now);
    run.advance(1s);
    REQUIRE(run.watch);
    run.respond(refusedByPause(200ms));
    run.advance(200ms);
    REQUIRE(run.watch);
    run.respond(failure(StoreStatus::Lost, 0));
    run.advance(1s);
    REQUIRE(run.watch);
    run.respond(refusedByPause(200ms));
    run.advance(200ms);
    CHECK(run.watch);
}

TEST_SUITE_END();

}
