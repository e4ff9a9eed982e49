#include "query_fixture.h"

#include <doctest/doctest.h>

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
        CHECK(fixture.legsIn(again) == lost.work.legs.size());
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
        REQUIRE(fixture.legsIn(again) == 4);
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
        setLoad(10);
        fixture.start("/search");
        CHECK(fixture.legsIn(fixture.takeWork()) == 4);
    }
    SUBCASE("old news is no ground for refusing")
    {
        setLoad(40);
        fixture.advance(2s);
        fixture.start("/search");
        CHECK(fixture.legsIn(fixture.takeWork()) == 4);
    }
}

}
