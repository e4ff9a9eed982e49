#include "query_fixture.h"

#include <doctest/doctest.h>

#include <set>

namespace lycheefield {

TEST_CASE("a search asks every shard and merges one answer" * doctest::test_suite("query"))
{
    QueryFixture fixture(8);
    const auto id = fixture.start("/search/boards");
    const auto work = fixture.takeWork();
    REQUIRE(fixture.legCount(work) == 8);

    SUBCASE("one message a relay carries all of its legs, with the pinned version and epoch")
    {
        std::set<InstanceName> relays;
        for (const auto& it : work) {
            CHECK(relays.insert(it.relay).second);
            CHECK(it.work.version == IndexVersion(10));
            CHECK(it.work.epoch == PartitionEpoch(5));
            CHECK(it.work.deadline == fixture.now + 100ms);
        }
    }
    SUBCASE("all legs answered: a complete answer, ascending by shard")
    {
        for (auto it = work.rbegin(); it != work.rend(); ++it) {
            for (const auto& leg : it->work.legs)
                fixture.answer(*it, leg);
        }
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].request == id);
        CHECK(answers[0].isComplete());
        CHECK((answers[0].runState == RunState::Ran));
        REQUIRE(answers[0].covered.size() == 8);
        for (std::uint32_t i = 0; i < 8; ++i)
            CHECK(answers[0].covered[i].shard == ShardNumber(i));
        CHECK(fixture.engine->inFlight() == 0);
        CHECK(fixture.engine->nextWake() == never);
    }
    SUBCASE("a shard that answers for fewer batches than the catalog has makes the answer partial, and it says so")
    {
        for (const auto& it : work) {
            for (const auto& leg : it.work.legs) {
                auto result = fixture.resultOf(it, leg, LegOutcome::Ok);
                if (leg.shard == ShardNumber(3))
                    result.batches.clear();
                fixture.send(result);
            }
        }
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK_FALSE(answers[0].isComplete());
        CHECK(answers[0].covered[3].missingBatches == std::vector { BatchId("batch3") });
        CHECK(answers[0].covered[4].missingBatches.empty());
        CHECK(fixture.engine->counters().partialAnswers == 1);
    }
    SUBCASE("late, duplicate and foreign answers are dropped and counted")
    {
        const auto& first = work[0];
        const auto result = fixture.resultOf(first, first.work.legs[0], LegOutcome::Ok);
        fixture.send(result);
        fixture.send(result);
        auto foreign = result;
        foreign.key.request.counter += 1000;
        fixture.send(foreign);
        foreign = result;
        foreign.key.attempt = AttemptNumber(9);
        fixture.send(foreign);
        foreign = result;
        foreign.key.leg = LegNumber(4000);
        fixture.send(foreign);
        foreign = fixture.resultOf(first, first.work.legs[1], LegOutcome::Ok);
        foreign.shard = ShardNumber(7000);
        fixture.send(foreign);
        CHECK(fixture.engine->counters().strayResults == 5);
        CHECK(fixture.takeAnswers().empty());
    }
}

TEST_CASE("what the caller is told when answers lack" * doctest::test_suite("query"))
{
    QuerySettings plain;
    plain.hedge = false;
    plain.retryRefusals = false;
    QueryFixture fixture(8, plain);

    SUBCASE("no rule matches")
    {
        fixture.start("/nothing");
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].refusal->kind == ErrorKind::NotFound));
        CHECK((answers[0].runState == RunState::NotRun));
    }
    SUBCASE("no instance owns the servers")
    {
        fixture.instances.clear();
        fixture.start("/search");
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].refusal->kind == ErrorKind::Unavailable));
        CHECK((answers[0].runState == RunState::NotRun));
    }
    SUBCASE("with a preference for coverage it waits until the deadline, and says what is missing")
    {
        fixture.start("/search");
        const auto work = fixture.takeWork();
        std::size_t answered = 0;
        for (const auto& it : work) {
            for (const auto& leg : it.work.legs) {
                if (answered < 6) {
                    fixture.answer(it, leg);
                    ++answered;
                }
            }
        }
        fixture.advance(99ms);
        CHECK(fixture.takeAnswers().empty());
        fixture.advance(1ms);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK_FALSE(answers[0].refusal);
        CHECK(answers[0].covered.size() == 6);
        CHECK(answers[0].missing.size() == 2);
        CHECK(fixture.takeCancels().size() == 2);
    }
    SUBCASE("below the minimum coverage at the deadline it is refused")
    {
        fixture.start("/search");
        const auto work = fixture.takeWork();
        fixture.answer(work[0], work[0].work.legs[0]);
        fixture.advance(100ms);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].refusal->kind == ErrorKind::IncompleteCoverage));
        CHECK(answers[0].covered.empty());
        CHECK((answers[0].runState == RunState::Ran));
        CHECK(fixture.takeCancels().size() == 7);
    }
    SUBCASE("with a preference for the tail it answers at the soft deadline, or as soon as enough is there")
    {
        fixture.start("/tail");
        const auto work = fixture.takeWork();
        std::vector<std::pair<const SendWork*, const LegOrder*>> legs;
        for (const auto& it : work) {
            for (const auto& leg : it.work.legs)
                legs.emplace_back(&it, &leg);
        }
        for (int i = 0; i < 5; ++i)
            fixture.answer(*legs[i].first, *legs[i].second);
        fixture.advance(50ms);
        CHECK(fixture.takeAnswers().empty());
        fixture.answer(*legs[5].first, *legs[5].second);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].covered.size() == 6);
        CHECK(answers[0].missing.size() == 2);
    }
    SUBCASE("every leg refused before it ran: not run")
    {
        fixture.start("/search");
        for (const auto& it : fixture.takeWork()) {
            for (const auto& leg : it.work.legs)
                fixture.end(it, leg, LegOutcome::Refused);
        }
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].refusal->kind == ErrorKind::Overloaded));
        CHECK((answers[0].runState == RunState::NotRun));
    }
    SUBCASE("too few can answer any more, after one did: it ends at once, and the others are cancelled")
    {
        fixture.start("/search");
        const auto work = fixture.takeWork();
        fixture.answer(work[0], work[0].work.legs[0]);
        fixture.end(work[0], work[0].work.legs[1], LegOutcome::Expired);
        fixture.end(work[0], work[0].work.legs[2], LegOutcome::Expired);
        CHECK(fixture.takeAnswers().empty());
        fixture.end(work[0], work[0].work.legs[3], LegOutcome::Expired);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].refusal->kind == ErrorKind::IncompleteCoverage));
        CHECK((answers[0].runState == RunState::Ran));
        CHECK(fixture.takeCancels().size() == 4);
    }
    SUBCASE("too few can answer any more, and nothing has run: the others have a moment to prove that it did not")
    {
        fixture.start("/search");
        const auto work = fixture.takeWork();
        for (std::size_t i = 0; i < 3; ++i)
            fixture.end(work[0], work[0].work.legs[i], LegOutcome::Expired);
        CHECK(fixture.takeAnswers().empty());
        SUBCASE("they do not: unknown, and they are cancelled")
        {
            fixture.advance(10ms);
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK((answers[0].runState == RunState::Unknown));
            CHECK(fixture.takeCancels().size() == 5);
        }
        SUBCASE("one answers: it has run, and ends at once")
        {
            fixture.answer(work[0], work[0].work.legs[3]);
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK((answers[0].runState == RunState::Ran));
        }
    }
    SUBCASE("the caller is gone: everything is cancelled and nothing is delivered")
    {
        const auto id = fixture.start("/search");
        fixture.engine->cancel(id, true, fixture.now, fixture.actions);
        CHECK(fixture.takeCancels().size() == 8);
        CHECK(fixture.takeAnswers().empty());
        CHECK(fixture.engine->inFlight() == 0);
    }
    SUBCASE("cancelled on request: told as unknown, since legs may have run")
    {
        const auto id = fixture.start("/search");
        fixture.engine->cancel(id, false, fixture.now, fixture.actions);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Unknown));
    }
}

TEST_CASE("an order is dispatched to at most one server that may run it" * doctest::test_suite("query"))
{
    QueryFixture fixture(8);
    fixture.start("/order", "house 12");
    const auto work = fixture.takeWork();
    REQUIRE(fixture.legCount(work) == 1);
    const auto& leg = work[0].work.legs[0];

    SUBCASE("it ran")
    {
        fixture.answer(work[0], leg);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Ran));
        CHECK(answers[0].isComplete());
    }
    SUBCASE("it is never hedged, and silence until the deadline is unknown")
    {
        fixture.advance(100ms);
        CHECK(fixture.takeWork().empty());
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Unknown));
        CHECK((answers[0].refusal->kind == ErrorKind::UnknownOutcome));
    }
    SUBCASE("proof that it did not run allows the other replica")
    {
        fixture.end(work[0], leg, LegOutcome::Refused);
        const auto second = fixture.takeWork();
        REQUIRE(fixture.legCount(second) == 1);
        CHECK(second[0].work.legs[0].server != leg.server);
        SUBCASE("which refuses too: not run")
        {
            fixture.end(second[0], second[0].work.legs[0], LegOutcome::Refused);
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK((answers[0].runState == RunState::NotRun));
        }
        SUBCASE("which is lost: unknown, and no third try")
        {
            fixture.end(second[0], second[0].work.legs[0], LegOutcome::Lost);
            CHECK(fixture.takeWork().empty());
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK((answers[0].runState == RunState::Unknown));
        }
    }
    SUBCASE("without proof it is not tried again")
    {
        for (const auto outcome : { LegOutcome::Lost, LegOutcome::Cancelled, LegOutcome::Failed }) {
            QueryFixture other(8);
            other.start("/order", "house 12");
            const auto sent = other.takeWork();
            other.end(sent[0], sent[0].work.legs[0], outcome);
            CHECK(other.takeWork().empty());
            const auto answers = other.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK((answers[0].runState == (outcome == LegOutcome::Failed ? RunState::Ran : RunState::Unknown)));
        }
    }
    SUBCASE("its relay is lost: unknown")
    {
        fixture.engine->onRelayLost(work[0].relay, fixture.now, fixture.actions);
        CHECK(fixture.takeWork().empty());
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Unknown));
    }
    SUBCASE("an answer of another index version still means that it ran")
    {
        auto result = fixture.resultOf(work[0], leg, LegOutcome::Ok);
        result.version = IndexVersion(11);
        fixture.send(result);
        CHECK(fixture.takeWork().empty());
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Ran));
    }
}

}
