#include "query_fixture.h"

#include <doctest/doctest.h>

#include <set>

namespace lycheefield {

TEST_CASE("A search sends a leg to every shard and merges the results into one answer" * doctest::test_suite("query"))
{
    QueryFixture fixture(8);
    const auto id = fixture.start("/search/boards");
    const auto work = fixture.takeWork();
    REQUIRE(fixture.legCount(work) == 8);

    SUBCASE("Each relay gets one message with all of its legs and the pinned version and epoch")
    {
        std::set<InstanceName> relays;
        for (const auto& it : work) {
            CHECK(relays.insert(it.relay).second);
            CHECK(it.work.version == IndexVersion(10));
            CHECK(it.work.epoch == PartitionEpoch(5));
            CHECK(it.work.deadline == fixture.now + 100ms);
        }
    }
    SUBCASE("The answer is complete and ascending by shard when all legs are answered")
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
    SUBCASE("The answer is partial and names the missing batches when a shard covers fewer batches than the catalog lists")
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
    SUBCASE("Late, duplicate and foreign leg results are dropped and counted")
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

TEST_CASE("The answer states why results are missing" * doctest::test_suite("query"))
{
    QuerySettings plain;
    plain.hedge = false;
    plain.retryRefusals = false;
    QueryFixture fixture(8, plain);

    SUBCASE("A request without a matching rule is refused as not found")
    {
        fixture.start("/nothing");
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].refusal->kind == ErrorKind::NotFound));
        CHECK((answers[0].runState == RunState::NotRun));
    }
    SUBCASE("A request whose servers no instance owns is refused as unavailable")
    {
        fixture.instances.clear();
        fixture.start("/search");
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].refusal->kind == ErrorKind::Unavailable));
        CHECK((answers[0].runState == RunState::NotRun));
    }
    SUBCASE("A search that prefers coverage waits until the deadline and names the missing shards")
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
    SUBCASE("A search below its minimum coverage is refused at the deadline")
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
    SUBCASE("A search that prefers the tail answers at the soft deadline, or later as soon as the minimum is covered")
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
    SUBCASE("A search whose legs were all refused is answered as not run")
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
    SUBCASE("A search that ran ends at once when its minimum coverage is out of reach, and the other legs are cancelled")
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
    SUBCASE("A search that can't reach its minimum coverage briefly awaits proof that nothing ran")
    {
        fixture.start("/search");
        const auto work = fixture.takeWork();
        for (std::size_t i = 0; i < 3; ++i)
            fixture.end(work[0], work[0].work.legs[i], LegOutcome::Expired);
        CHECK(fixture.takeAnswers().empty());
        SUBCASE("The state is unknown and the open legs are cancelled when the proof does not come in time")
        {
            fixture.advance(10ms);
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK((answers[0].runState == RunState::Unknown));
            CHECK(fixture.takeCancels().size() == 5);
        }
        SUBCASE("The search ends at once as run when another leg is answered")
        {
            fixture.answer(work[0], work[0].work.legs[3]);
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK((answers[0].runState == RunState::Ran));
        }
    }
    SUBCASE("All legs are cancelled and no answer is delivered when the caller disconnects")
    {
        const auto id = fixture.start("/search");
        fixture.engine->cancel(id, true, fixture.now, fixture.actions);
        CHECK(fixture.takeCancels().size() == 8);
        CHECK(fixture.takeAnswers().empty());
        CHECK(fixture.engine->inFlight() == 0);
    }
    SUBCASE("A request cancelled by its caller is answered as unknown, since legs may have run")
    {
        const auto id = fixture.start("/search");
        fixture.engine->cancel(id, false, fixture.now, fixture.actions);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Unknown));
    }
}

TEST_CASE("An order is sent to at most one server that may run it" * doctest::test_suite("query"))
{
    QueryFixture fixture(8);
    fixture.start("/order", "house 12");
    const auto work = fixture.takeWork();
    REQUIRE(fixture.legCount(work) == 1);
    const auto& leg = work[0].work.legs[0];

    SUBCASE("The answer to an order that ran is complete")
    {
        fixture.answer(work[0], leg);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Ran));
        CHECK(answers[0].isComplete());
    }
    SUBCASE("An order is never hedged, and its outcome is unknown when no response comes before the deadline")
    {
        fixture.advance(100ms);
        CHECK(fixture.takeWork().empty());
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Unknown));
        CHECK((answers[0].refusal->kind == ErrorKind::UnknownOutcome));
    }
    SUBCASE("An order that provably did not run is retried at the other replica")
    {
        fixture.end(work[0], leg, LegOutcome::Refused);
        const auto second = fixture.takeWork();
        REQUIRE(fixture.legCount(second) == 1);
        CHECK(second[0].work.legs[0].server != leg.server);
        SUBCASE("The order is answered as not run when the other replica refuses too")
        {
            fixture.end(second[0], second[0].work.legs[0], LegOutcome::Refused);
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK((answers[0].runState == RunState::NotRun));
        }
        SUBCASE("The outcome is unknown and no third attempt follows when the second is lost")
        {
            fixture.end(second[0], second[0].work.legs[0], LegOutcome::Lost);
            CHECK(fixture.takeWork().empty());
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK((answers[0].runState == RunState::Unknown));
        }
    }
    SUBCASE("An order without proof that it did not run is not retried")
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
    SUBCASE("The outcome of an order is unknown when the connection to its relay breaks")
    {
        fixture.engine->onRelayDisconnected(work[0].relay, fixture.now, fixture.actions);
        CHECK(fixture.takeWork().empty());
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Unknown));
    }
    SUBCASE("A result of another index version still proves that the order ran")
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
