#include "platform/engine_run.h"

#include <algorithm>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_SUITE_BEGIN("platform");

namespace {

const StoreRevision oldRevision { 4, 500 };
const StoreRevision newRevision { 5, 300 };
const std::vector<StoredObject> oldObjects { object("a", 10), object("b", 20), object("c", 450) };

}

TEST_CASE("When the store comes back from an older copy, the watching instance takes over its state and tells the others")
{
    EngineRun run({ Duration {}, 1s, hour }, batchOf(oldRevision, oldObjects));
    REQUIRE(run.watch);
    CHECK(run.watch->after == oldRevision);
    const auto provenBefore = run.engine.provenAt();
    run.now += 400ms;

    SUBCASE("A watch response of the later epoch is not applied; the engine lists at once")
    {
        run.respond(batchOf({ 5, 501 }, { object("x", 501) }));
        CHECK(run.isListing);
        CHECK(run.announced.empty());
        CHECK(run.delivered.size() == 1);
        CHECK(run.engine.state().revision == StoreRevision {});
        CHECK(run.engine.provenAt() == TimePoint {});
    }
    SUBCASE("A lost history leads to a list, whatever its number is")
    {
        run.respond(failure(StoreStatus::HistoryExpired, 5));
        REQUIRE(run.isListing);
        CHECK(run.engine.provenAt() == TimePoint {});
        const auto sentAt = run.now;
        run.now += 5ms;
        run.respond(batchOf(newRevision, { object("a", 10), object("b", 290, "other"), object("d", 280) }));

        CHECK(run.engine.revision() == newRevision);
        CHECK(run.known() == std::vector<std::string> { "servers/a", "servers/b", "servers/d" });
        CHECK(run.delivered.back().isFullList);
        CHECK(run.delivered.back().isNewEpoch);
        CHECK(run.delivered.back().confirmedAt == sentAt);
        CHECK(run.engine.provenAt() == sentAt);
        CHECK(provenBefore < sentAt);
        REQUIRE(run.announced.size() == 1);
        CHECK(run.announced[0].from == oldRevision);
        CHECK(run.announced[0].batch.revision == newRevision);
        CHECK(keysOf(run.announced[0].batch) == std::vector<std::string> { "servers/b", "servers/d" });
        CHECK(run.announced[0].batch.removed == std::vector<std::string> { "servers/c" });
        REQUIRE(run.watch);
        CHECK(run.watch->after == newRevision);

        SUBCASE("and logs both epochs and both revisions in one line")
        {
            const auto isNewEpochLine = [](const auto& it) { return it.event == "state of another epoch of the store replaces the known one"; };
            REQUIRE(std::count_if(run.logged.begin(), run.logged.end(), isNewEpochLine) == 1);
            const auto line = *std::find_if(run.logged.begin(), run.logged.end(), isNewEpochLine);
            for (const LogField& it : std::vector<LogField> { { "known_epoch", "4" }, { "epoch", "5" }, { "known_revision", "500" }, { "revision", "300" } })
                CHECK(std::find(line.fields.begin(), line.fields.end(), it) != line.fields.end());
        }
        SUBCASE("and a change with a number that was given out before is applied")
        {
            run.respond(batchOf({ 5, 301 }, { object("c", 301) }));
            CHECK(keysOf(run.delivered.back()) == std::vector<std::string> { "servers/c" });
            CHECK_FALSE(run.delivered.back().isNewEpoch);
        }
    }
}

TEST_CASE("A response that is older than what is known proves nothing, loses nothing and is asked for again after a pause")
{
    EngineRun run(quiet, batchOf(oldRevision, oldObjects));
    const auto provenBefore = run.engine.provenAt();
    run.advance(2 * hour);
    REQUIRE(run.watch);
    run.now += 10ms;
    const auto isDropped = [&] {
        return !run.isCalling() && run.engine.nextWake() > run.now && run.engine.provenAt() == provenBefore && run.engine.state().confirmedAt == provenBefore
            && run.engine.revision() == oldRevision && run.known().size() == oldObjects.size() && run.delivered.back().status != StoreStatus::Ok
            && run.announced.empty() && run.logged.size() == 1;
    };
    SUBCASE("of an earlier epoch")
    {
        run.respond(batchOf({ 3, 900 }, { object("x", 900) }));
        CHECK(isDropped());
        run.advance(1s);
        REQUIRE(run.watch);
        CHECK(run.watch->after == oldRevision);
    }
    SUBCASE("without an epoch that can be read")
    {
        run.respond(batchOf({ 0, 501 }, { object("x", 501) }));
        CHECK(isDropped());
    }
    SUBCASE("with an epoch that is too large to be true")
    {
        run.respond(batchOf({ ~std::uint64_t(0), 501 }, { object("x", 501) }));
        CHECK(isDropped());
    }
    SUBCASE("of a lower number in the same epoch")
    {
        run.respond(batchOf({ 4, 499 }));
        CHECK(isDropped());
    }
}

TEST_CASE("A store that keeps answering from before does not get a storm of calls")
{
    EngineRun run({ Duration {}, 1s, hour }, batchOf(oldRevision, oldObjects));
    const auto callsOfTenSeconds = [&](const WatchBatch& list) {
        const auto before = run.calls;
        for (const auto end = run.now + 10s; run.now < end; run.advance(end - run.now)) {
            if (!run.isCalling())
                continue;
            run.now += 2ms;
            run.respond(run.isListing ? list : failure(StoreStatus::HistoryExpired, 4));
        }
        return run.calls - before;
    };
    SUBCASE("although its history is gone and its lists are older than what is known")
    {
        const auto provenBefore = run.engine.provenAt();
        CHECK(callsOfTenSeconds(batchOf({ 4, 400 }, { object("x", 400) })) < 40);
        CHECK(run.engine.provenAt() == provenBefore);
        CHECK(run.engine.revision() == oldRevision);
    }
    SUBCASE("although it loses the history again after each list")
    {
        CHECK(callsOfTenSeconds(batchOf({ 4, 510 }, oldObjects)) < 80);
        CHECK(run.engine.revision() == StoreRevision { 4, 510 });
    }
}

TEST_CASE("A store that names no epochs has gone back when a response is lower than what was known at its call")
{
    EngineRun run({ Duration {}, 1s, hour }, batchOf({ 0, 500 }, oldObjects));
    SUBCASE("A watch response leads to a list, which replaces the state")
    {
        run.respond(batchOf({ 0, 301 }, { object("x", 301) }));
        REQUIRE(run.isListing);
        CHECK(run.delivered.size() == 1);
        CHECK(run.engine.provenAt() == TimePoint {});
        run.now += 1ms;
        run.respond(batchOf({ 0, 301 }, { object("a", 10), object("x", 301) }));
        CHECK(run.engine.revision() == StoreRevision { 0, 301 });
        CHECK(run.known() == std::vector<std::string> { "servers/a", "servers/x" });
        CHECK(run.delivered.back().isFullList);
        CHECK(run.delivered.back().isNewEpoch);
        REQUIRE(run.announced.size() == 1);

        SUBCASE("and what is announced of it is taken by exactly those who knew the same state")
        {
            EngineRun other(quiet, batchOf({ 0, 500 }, oldObjects));
            other.announce(run.announced[0].batch, run.announced[0].from, other.now);
            CHECK(other.known() == std::vector<std::string> { "servers/a", "servers/x" });
            CHECK(other.engine.revision() == StoreRevision { 0, 301 });
            EngineRun late(quiet, batchOf({ 0, 490 }, oldObjects));
            late.announce(run.announced[0].batch, run.announced[0].from, late.now);
            CHECK(late.delivered.size() == 1);
            late.advance(1s);
            CHECK(late.isListing);
        }
    }
    SUBCASE("A list that is lower than a state announced while it was in flight is no sign of that")
    {
        EngineRun starting(quiet);
        starting.start();
        starting.announce(batchOf({ 0, 500 }, oldObjects), {}, starting.now - 1s);
        starting.now += 10ms;
        starting.respond(batchOf({ 0, 499 }, { object("a", 10) }));
        CHECK(starting.engine.revision() == StoreRevision { 0, 500 });
        CHECK(starting.known().size() == 3);
        CHECK(starting.engine.provenAt() == starting.now - 1s - 10ms);
    }
}

TEST_CASE("A proof is not advanced by a response that is older than what another instance announced meanwhile")
{
    EngineRun run({ Duration {}, 1s, hour, {}, {}, hour }, batchOf({ 4, 500 }, oldObjects));
    REQUIRE(run.watch);
    const auto asOf = run.now + 20ms;
    run.now += 1s;
    run.announce(batchOf({ 4, 502 }, { object("x", 502) }), { 4, 500 }, asOf);
    SUBCASE("a watch without changes")
    {
        run.respond(batchOf({ 4, 501 }));
        CHECK(run.engine.provenAt() == asOf);
        CHECK(run.known().size() == 4);
    }
    SUBCASE("a watch that began in another epoch than the one that is known by now")
    {
        run.announce(batchOf({ 5, 300 }, oldObjects), {}, run.now - 500ms);
        REQUIRE(run.engine.revision() == newRevision);
        run.respond(batchOf({ 5, 510 }, { object("y", 510) }));
        CHECK(run.engine.revision() == newRevision);
        CHECK(run.known().size() == 3);
        CHECK(run.engine.provenAt() == run.now - 500ms);
    }
}

TEST_CASE("Announcements of other epochs of the store")
{
    EngineRun run(quiet, batchOf(oldRevision, oldObjects));
    const auto provenBefore = run.engine.provenAt();
    run.now += 1s;

    SUBCASE("one of an earlier epoch, of none, or of one that is too large to be true, is ignored entirely")
    {
        for (const std::uint64_t epoch : { std::uint64_t(0), std::uint64_t(3), ~std::uint64_t(0) }) {
            auto news = batchOf({ epoch, 900 }, { object("x", 900) });
            news.confirmedAt = run.now;
            run.announce(news, { epoch, 400 }, run.now);
            run.announce(news, { epoch, 800 }, run.now);
            run.announce(news, { epoch, 0 }, run.now);
        }
        CHECK(run.delivered.size() == 1);
        CHECK(run.engine.provenAt() == provenBefore);
        CHECK(run.engine.state().confirmedAt == provenBefore);
        CHECK(run.engine.revision() == oldRevision);
        CHECK(run.engine.nextWake() > run.now + 10s);
    }
    SUBCASE("one that goes back within an epoch is ignored entirely")
    {
        run.announce(batchOf({ 4, 400 }, { object("x", 400) }), oldRevision, run.now);
        CHECK(run.delivered.size() == 1);
        CHECK(run.engine.provenAt() == provenBefore);
    }
    SUBCASE("a recent state of a later epoch replaces the known one, whatever its number is")
    {
        run.announce(batchOf(newRevision, { object("d", 280) }), {}, run.now - 100ms);
        CHECK(run.known() == std::vector<std::string> { "servers/d" });
        CHECK(run.delivered.back().isFullList);
        CHECK(run.delivered.back().isNewEpoch);
        CHECK(run.engine.provenAt() == run.now - 100ms);
        CHECK_FALSE(run.isCalling());
    }
    SUBCASE("a difference that begins at exactly the known revision is applied, and passed on as the whole state")
    {
        run.announce(batchOf(newRevision, { object("d", 280) }, { "servers/c" }), oldRevision, run.now - 100ms);
        CHECK(run.known() == std::vector<std::string> { "servers/a", "servers/b", "servers/d" });
        CHECK(keysOf(run.delivered.back()) == run.known());
        CHECK(run.delivered.back().isFullList);
        CHECK(run.delivered.back().isNewEpoch);
        CHECK(run.engine.provenAt() == run.now - 100ms);

        SUBCASE("and changes of the earlier epoch no longer count")
        {
            run.announce(batchOf({ 4, 501 }, { object("x", 501) }), oldRevision, run.now);
            CHECK(run.known().size() == 3);
            CHECK(run.engine.provenAt() == run.now - 100ms);
        }
        SUBCASE("and a difference from the earlier epoch to a later revision leaves a gap")
        {
            run.announce(batchOf({ 5, 310 }, { object("x", 310) }), oldRevision, run.now);
            CHECK(run.known().size() == 3);
            CHECK(run.engine.provenAt() == run.now - 100ms);
            run.advance(1s);
            REQUIRE(run.watch);
            CHECK(run.watch->after == newRevision);
        }
    }
    SUBCASE("what was proven in the earlier epoch does not count for what replaces it")
    {
        auto news = batchOf(newRevision, { object("d", 280) });
        news.confirmedAt = provenBefore - 700ms;
        SUBCASE("as a state") { run.announce(news, {}, provenBefore - 500ms); }
        SUBCASE("as a difference") { run.announce(news, oldRevision, provenBefore - 500ms); }
        CHECK(run.engine.revision() == newRevision);
        CHECK(run.engine.provenAt() == provenBefore - 500ms);
        CHECK(run.delivered.back().provenAt == provenBefore - 500ms);
        CHECK(run.delivered.back().confirmedAt == provenBefore - 700ms);
    }
    SUBCASE("one that an instance hears before its first list tells it the epoch that the list must have")
    {
        EngineRun starting(quiet);
        starting.announce(batchOf(newRevision), { 5, 299 }, starting.now);
        starting.start();
        starting.respond(batchOf(oldRevision, oldObjects));
        CHECK(starting.known().empty());
        starting.advance(1s);
        starting.respond(batchOf(newRevision, oldObjects));
        CHECK(starting.known().size() == 3);
        CHECK_FALSE(starting.delivered.back().isNewEpoch);
    }
    SUBCASE("a difference from any other revision is not applied: the engine lists after its pause, and its proofs do not count")
    {
        for (const StoreRevision from : { StoreRevision { 4, 499 }, StoreRevision { 4, 501 }, StoreRevision { 5, 299 } }) {
            auto news = batchOf(newRevision, { object("d", 280) });
            news.confirmedAt = run.now;
            run.announce(news, from, run.now);
        }
        CHECK(run.delivered.size() == 1);
        CHECK(run.engine.provenAt() == TimePoint {});
        CHECK(run.engine.state().revision == StoreRevision {});
        CHECK_FALSE(run.isCalling());
        const auto before = run.now;
        run.advance(1s);
        REQUIRE(run.isListing);
        CHECK(run.now - before == quiet.gapPause);

        SUBCASE("and a list of the earlier epoch is not taken")
        {
            run.respond(batchOf({ 4, 510 }, { object("x", 510) }));
            CHECK(run.engine.revision() == oldRevision);
            CHECK(run.engine.provenAt() == TimePoint {});
            CHECK(run.engine.nextWake() > run.now);
            run.advance(1s);
            CHECK(run.isListing);
        }
    }
    SUBCASE("a state of a later epoch that is too old tells of the epoch all the same")
    {
        run.announce(batchOf(newRevision, { object("d", 280) }), {}, run.now - 2 * hour);
        CHECK(run.delivered.size() == 1);
        CHECK(run.engine.provenAt() == TimePoint {});
        run.advance(1s);
        CHECK(run.isListing);
    }
}

TEST_CASE("What two lists differ in is no news for an instance that knows a state between them, so that no object stays that came and went")
{
    EngineRun watching({ Duration {}, 1s, hour }, batchOf({ 4, 490 }, { object("a", 10) }));
    watching.respond(failure(StoreStatus::HistoryExpired, 4));
    watching.respond(batchOf({ 4, 510 }, { object("a", 10), object("d", 505) }));
    REQUIRE(watching.announced.size() == 1);
    const auto& news = watching.announced[0];

    SUBCASE("An instance that knows exactly the first list applies it")
    {
        EngineRun run(quiet, batchOf({ 4, 490 }, { object("a", 10) }));
        run.announce(news.batch, news.from, run.now);
        CHECK(run.known() == std::vector<std::string> { "servers/a", "servers/d" });
    }
    SUBCASE("An instance that knows more calls the store")
    {
        EngineRun run(quiet, batchOf({ 4, 500 }, { object("a", 10), object("left", 495) }));
        const auto provenBefore = run.engine.provenAt();
        run.announce(news.batch, news.from, run.now + 1ms);
        CHECK(run.delivered.size() == 1);
        CHECK(run.engine.provenAt() == provenBefore);
        run.advance(1s);
        REQUIRE(run.watch);
        CHECK(run.watch->after == StoreRevision { 4, 500 });
    }
    SUBCASE("An instance that knows the second list takes the proof")
    {
        EngineRun run(quiet, batchOf({ 4, 510 }, { object("a", 10), object("d", 505) }));
        run.announce(news.batch, news.from, run.now + 1ms);
        CHECK(run.engine.provenAt() == run.now + 1ms);
        CHECK_FALSE(run.isCalling());
    }
}

TEST_CASE("A list whose pages were read while the store changed is not the state at one revision, until a watch has read on")
{
    auto mixed = batchOf({ 4, 500 }, oldObjects);
    mixed.mixedUpTo = 503;
    EngineRun run(quiet, mixed);
    const auto difference = batchOf(newRevision, { object("d", 280) }, { "servers/c" });
    CHECK(run.engine.state().revision == StoreRevision {});

    SUBCASE("A difference to a later epoch from that revision is not applied")
    {
        run.announce(difference, { 4, 500 }, run.now);
        CHECK(run.delivered.size() == 1);
        run.advance(1s);
        REQUIRE(run.isListing);

        SUBCASE("and none is announced")
        {
            run.respond(batchOf(newRevision, { object("d", 280) }));
            CHECK(run.known() == std::vector<std::string> { "servers/d" });
            CHECK(run.announced.empty());
        }
    }
    SUBCASE("A difference from a revision that holds all of the list is applied")
    {
        run.announce(batchOf({ 4, 503 }, { object("x", 503) }), { 4, 499 }, run.now);
        CHECK(run.known().size() == 4);
        run.announce(difference, { 4, 503 }, run.now);
        CHECK(run.known() == std::vector<std::string> { "servers/a", "servers/b", "servers/d", "servers/x" });
    }
}

TEST_CASE("An announcement whose age is unknown gives its changes and no proof")
{
    EngineRun run(quiet, batchOf(oldRevision, oldObjects));
    const auto provenBefore = run.engine.provenAt();
    run.now += 1s;
    auto news = batchOf({ 4, 501 }, { object("x", 501) });
    news.confirmedAt = run.now;
    run.announce(news, oldRevision, TimePoint {});
    CHECK(keysOf(run.delivered.back()) == std::vector<std::string> { "servers/x" });
    CHECK(run.engine.provenAt() == provenBefore);
    CHECK(run.engine.state().confirmedAt == provenBefore);

    SUBCASE("and a state of unknown age is not taken")
    {
        EngineRun starting(quiet);
        starting.now = TimePoint {} + 1min;
        starting.announce(batchOf({ 4, 501 }, { object("left", 3) }), {}, TimePoint {});
        starting.start();
        CHECK(starting.isListing);
        CHECK(starting.delivered.empty());
    }
}

TEST_CASE("An announcement older than the known state proves nothing, as a store that names no epochs may have gone back")
{
    EngineRun run(quiet, batchOf({ 0, 500 }, oldObjects));
    const auto provenBefore = run.engine.provenAt();
    run.now += 1s;
    run.announce(batchOf({ 0, 310 }, { object("x", 310) }), { 0, 300 }, run.now);
    CHECK(run.engine.provenAt() == provenBefore);
    CHECK(run.known().size() == 3);
}

TEST_SUITE_END();

}
