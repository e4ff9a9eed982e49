#include "platform/engine_run.h"

namespace lycheefield {

using namespace std::chrono_literals;

TEST_SUITE_BEGIN("platform");

// Guards against an instance that drops every response of the store for good after one that named a wrong epoch.
TEST_CASE("A single wrong epoch costs a few seconds at most, and the state that is followed again is the store's")
{
    std::uint64_t number = 500;
    const auto playStore = [&](EngineRun& run, std::uint64_t epoch, Duration time) {
        for (const auto end = run.now + time; run.now < end;) {
            run.advance(100ms);
            if (!run.isCalling())
                continue;
            run.now += 5ms;
            ++number;
            run.respond(batchOf({ epoch, number }, { object("a", number) }));
        }
    };
    const StoreRevision known { 7, 500 };

    SUBCASE("in the response to a watch")
    {
        EngineRun run(watchScheduleForRank(0, 3s), batchOf(known, { object("a", 10) }));
        run.respond(batchOf({ 900, 500 }));
        playStore(run, 7, 3s);
        CHECK(run.engine.revision() == StoreRevision { 7, number });
    }
    SUBCASE("with a history that is gone")
    {
        EngineRun run(watchScheduleForRank(0, 3s), batchOf(known, { object("a", 10) }));
        run.respond(failure(StoreStatus::HistoryExpired, 900));
        playStore(run, 7, 3s);
        CHECK(run.engine.revision() == StoreRevision { 7, number });
    }
    SUBCASE("of a list that was taken")
    {
        EngineRun run(watchScheduleForRank(0, 3s), batchOf(known, { object("a", 10) }));
        run.respond(failure(StoreStatus::HistoryExpired, 17));
        run.respond(batchOf({ 17, 501 }, { object("wrong", 501) }));
        CHECK(run.engine.revision().epoch == 17);
        playStore(run, 7, 3s);
        CHECK(run.engine.revision() == StoreRevision { 7, number });
        CHECK(run.known() == std::vector<std::string> { "servers/a" });
        CHECK(std::any_of(run.logged.begin(), run.logged.end(), [](const auto& it) { return it.event.starts_with("store keeps naming another epoch"); }));
    }
    SUBCASE("of the first response to an instance that starts")
    {
        EngineRun run(watchScheduleForRank(0, 3s));
        run.start();
        run.respond(batchOf({ 1'000'000'000'000, 500 }, { object("wrong", 10) }));
        playStore(run, 7, 3s);
        CHECK(run.engine.revision() == StoreRevision { 7, number });
        CHECK(run.known() == std::vector<std::string> { "servers/a" });
    }
    SUBCASE("of a peer's announcement, at an instance that calls the store seldom")
    {
        EngineRun run(watchScheduleForRank(5, 3s), batchOf(known, { object("a", 10) }));
        run.announce(batchOf({ 900, 501 }, { object("x", 501) }), { 900, 500 }, run.now);
        playStore(run, 7, 6s);
        CHECK(run.engine.revision() == StoreRevision { 7, number });
    }
}

TEST_CASE("A store that alternates between two epochs is followed in the later one")
{
    EngineRun run(watchScheduleForRank(0, 3s), batchOf({ 8, 500 }, { object("a", 10) }));
    for (int i = 0; i < 100; ++i) {
        run.advance(10s);
        run.respond(i % 3 == 0 ? batchOf(run.engine.revision()) : batchOf({ 7, 900 }, { object("old", 5) }));
        CHECK(run.engine.revision().epoch == 8);
    }
}

TEST_SUITE_END();

}
