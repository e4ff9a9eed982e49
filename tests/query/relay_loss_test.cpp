#include "query_fixture.h"

#include <doctest/doctest.h>

#include <functional>

namespace lycheefield {

TEST_CASE("The engine retries legs in flight when the connection to their relay breaks" * doctest::test_suite("query"))
{
    QueryFixture fixture(4);
    SUBCASE("A search sends the lost legs to the other replicas and its answer is complete")
    {
        fixture.start("/search");
        const auto work = fixture.takeWork();
        const auto& lost = work[0];
        fixture.engine->onRelayDisconnected(lost.relay, fixture.now, fixture.actions);
        const auto again = fixture.takeWork();
        CHECK(fixture.legCount(again) == lost.work.legs.size());
        for (const auto& it : again)
            CHECK(it.relay != lost.relay);
        for (const auto& it : again) {
            for (const auto& leg : it.work.legs)
                fixture.answer(it, leg);
        }
        for (std::size_t i = 1; i < work.size(); ++i) {
            for (const auto& leg : work[i].work.legs)
                fixture.answer(work[i], leg);
        }
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].isComplete());
        CHECK(fixture.engine->counters().strayResults == 0);
    }
    SUBCASE("Without other replicas, the legs go to the same servers through the relay's standby")
    {
        for (auto& shard : fixture.services[0].shards)
            shard.replicas.pop_back();
        fixture.start("/search");
        const auto work = fixture.takeWork();
        fixture.engine->onRelayDisconnected(work[0].relay, fixture.now, fixture.actions);
        const auto again = fixture.takeWork();
        REQUIRE(fixture.legCount(again) == 4);
        CHECK(again[0].relay != work[0].relay);
    }
    SUBCASE("New queries go through the standby of a lost relay")
    {
        fixture.start("/search");
        const auto work = fixture.takeWork();
        fixture.engine->onRelayDisconnected(work[0].relay, fixture.now, fixture.actions);
        fixture.takeWork();
        fixture.start("/search");
        for (const auto& it : fixture.takeWork())
            CHECK(it.relay != work[0].relay);
    }
}

TEST_CASE("A search that can't meet its deadline is refused before any leg is sent" * doctest::test_suite("query"))
{
    QueryFixture fixture(4);
    const auto setLoad = [&](std::uint32_t queued, Priority priority = Priority::Van) {
        for (const auto& it : fixture.servers) {
            ServerState state;
            state.server = it.name;
            state.slots = 2;
            state.inFlight = 2;
            state.queued = queued;
            state.queuedBy.at(priority) = queued;
            state.recentLatency = 10ms;
            state.versions = it.versions;
            fixture.engine->onServerState(state, fixture.now);
        }
    };
    SUBCASE("A search is refused as not run when the queues are longer than its deadline")
    {
        setLoad(40);
        fixture.start("/search");
        CHECK(fixture.takeWork().empty());
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].refusal->kind == ErrorKind::Overloaded));
        CHECK((answers[0].runState == RunState::NotRun));
        CHECK(answers[0].retryAfter > Duration {});
    }
    SUBCASE("A search is sent when only lower priorities wait in the queues")
    {
        setLoad(40, Priority::Batch);
        fixture.start("/search");
        CHECK_FALSE(fixture.takeWork().empty());
    }
    SUBCASE("A search is sent to all shards when the queues are short enough")
    {
        setLoad(10, Priority::Desk);
        fixture.start("/search");
        CHECK(fixture.legCount(fixture.takeWork()) == 4);
    }
    SUBCASE("A search is refused when higher priorities wait at its servers")
    {
        setLoad(10, Priority::Van);
        fixture.start("/search");
        CHECK(fixture.takeWork().empty());
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].refusal->kind == ErrorKind::Overloaded));
        CHECK((answers[0].runState == RunState::NotRun));
        CHECK(answers[0].retryAfter > Duration {});
    }
    SUBCASE("A search that prefers the tail sheds one leg of four under pressure")
    {
        setLoad(10, Priority::Desk);
        fixture.start("/tail");
        const auto work = fixture.takeWork();
        CHECK(fixture.legCount(work) == 3);
        CHECK(fixture.engine->counters().shedLegs == 1);
        for (const auto& it : work) {
            for (const auto& leg : it.work.legs)
                fixture.answer(it, leg);
        }
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK_FALSE(answers[0].refusal);
        REQUIRE(answers[0].missing.size() == 1);
        CHECK(answers[0].missing[0].reason == "left out under overload");
    }
    SUBCASE("A search that prefers the tail sheds no leg while the queues are almost empty")
    {
        setLoad(1, Priority::Desk);
        fixture.start("/tail");
        CHECK(fixture.legCount(fixture.takeWork()) == 4);
    }
    SUBCASE("A search is not refused because of an old load report")
    {
        setLoad(40);
        fixture.advance(2s);
        fixture.start("/search");
        CHECK(fixture.legCount(fixture.takeWork()) == 4);
    }
}

TEST_CASE("When every leg fails, the servers get at most 1.1 times the offered legs" * doctest::test_suite("query"))
{
    constexpr std::size_t queries = 300;
    constexpr std::size_t shards = 20;
    QueryFixture fixture(shards);
    std::size_t sent = 0;
    const auto run = [&](const std::function<void(const SendWork&, const LegOrder&)>& end) {
        for (std::size_t i = 0; i < queries; ++i) {
            fixture.start("/search", "key", "body " + std::to_string(i));
            for (auto work = fixture.takeWork(); !work.empty(); work = fixture.takeWork()) {
                sent += fixture.legCount(work);
                for (const auto& it : work) {
                    for (const auto& leg : it.work.legs)
                        end(it, leg);
                }
            }
            fixture.advance(100ms);
            sent += fixture.legCount(fixture.takeWork());
        }
        CHECK(sent <= queries * shards * 11 / 10);
        CHECK(sent >= queries * shards);
    };
    SUBCASE("Retries are bounded when every leg fails")
    {
        run([&](const auto& work, const auto& leg) { fixture.end(work, leg, LegOutcome::Failed); });
    }
    SUBCASE("Retries are bounded when every leg is refused")
    {
        run([&](const auto& work, const auto& leg) { fixture.end(work, leg, LegOutcome::Refused); });
    }
    SUBCASE("Hedges are bounded when no leg is answered")
    {
        run([](const auto&, const auto&) {});
    }
}

}
