#include "query_fixture.h"

#include <doctest/doctest.h>

#include <functional>

namespace lycheefield {

TEST_CASE("a relay is lost with legs in flight" * doctest::test_suite("query"))
{
    QueryFixture fixture(4);
    SUBCASE("a search asks the other replicas, and the answer is complete")
    {
        fixture.start("/search");
        const auto work = fixture.takeWork();
        const auto& lost = work[0];
        fixture.engine->onRelayLost(lost.relay, fixture.now, fixture.actions);
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
    SUBCASE("when the other replicas are gone, its standby is asked for the same servers")
    {
        for (auto& shard : fixture.services[0].shards)
            shard.replicas.pop_back();
        fixture.start("/search");
        const auto work = fixture.takeWork();
        fixture.engine->onRelayLost(work[0].relay, fixture.now, fixture.actions);
        const auto again = fixture.takeWork();
        REQUIRE(fixture.legCount(again) == 4);
        CHECK(again[0].relay != work[0].relay);
    }
    SUBCASE("new queries go to its standby, until it is heard again")
    {
        fixture.start("/search");
        const auto work = fixture.takeWork();
        fixture.engine->onRelayLost(work[0].relay, fixture.now, fixture.actions);
        fixture.takeWork();
        fixture.start("/search");
        for (const auto& it : fixture.takeWork())
            CHECK(it.relay != work[0].relay);
    }
}

TEST_CASE("work that can't be done in time is refused before it costs anything" * doctest::test_suite("query"))
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
    SUBCASE("the queues are longer than the deadline")
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
    SUBCASE("the queues are long, but of work that goes after this")
    {
        setLoad(40, Priority::Batch);
        fixture.start("/search");
        CHECK_FALSE(fixture.takeWork().empty());
    }
    SUBCASE("the queues are short enough")
    {
        setLoad(10, Priority::Desk);
        fixture.start("/search");
        CHECK(fixture.legCount(fixture.takeWork()) == 4);
    }
    SUBCASE("the queues are short enough, but work that goes before this waits in them")
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
    SUBCASE("the queues are short enough, and a preference for the tail spares one leg of four")
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
    SUBCASE("hardly anything waits: a preference for the tail spares no leg")
    {
        setLoad(1, Priority::Desk);
        fixture.start("/tail");
        CHECK(fixture.legCount(fixture.takeWork()) == 4);
    }
    SUBCASE("old news is no ground for refusing")
    {
        setLoad(40);
        fixture.advance(2s);
        fixture.start("/search");
        CHECK(fixture.legCount(fixture.takeWork()) == 4);
    }
}

TEST_CASE("in a full brown-out the servers get at most 1.1 times what is offered" * doctest::test_suite("query"))
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
    SUBCASE("every leg fails")
    {
        run([&](const auto& work, const auto& leg) { fixture.end(work, leg, LegOutcome::Failed); });
    }
    SUBCASE("every leg is refused")
    {
        run([&](const auto& work, const auto& leg) { fixture.end(work, leg, LegOutcome::Refused); });
    }
    SUBCASE("no leg is answered")
    {
        run([](const auto&, const auto&) {});
    }
}

}
