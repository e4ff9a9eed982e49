#include "query_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lycheefield {

namespace {

/// Ends every attempt as if no relay held its server. Returns the number of attempts.
std::size_t answerAllNotHeld(QueryFixture& fixture)
{
    std::size_t n = 0;
    for (auto work = fixture.takeWork(); !work.empty(); work = fixture.takeWork()) {
        for (const auto& sent : work) {
            for (const auto& leg : sent.work.legs) {
                fixture.end(sent, leg, LegOutcome::NotHeld);
                ++n;
            }
        }
    }
    return n;
}

void setHealth(QueryFixture& fixture, InstanceHealth health)
{
    for (auto& it : fixture.instances)
        it.health = health;
}

}

TEST_CASE("A leg whose relay does not hold the server is rerouted to the relay that does" * doctest::test_suite("query"))
{
    QueryFixture fixture(2);

    SUBCASE("Every leg is rerouted at once without using the retry budget")
    {
        fixture.start("/search");
        const auto first = fixture.takeWork();
        for (const auto& sent : first) {
            for (const auto& leg : sent.work.legs)
                fixture.end(sent, leg, LegOutcome::NotHeld);
        }
        const auto again = fixture.takeWork();
        CHECK(fixture.legCount(again) == 2);
        for (const auto& sent : again) {
            for (const auto& leg : sent.work.legs)
                fixture.answer(sent, leg);
        }
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].isComplete());
    }
    SUBCASE("Legs are rerouted once the instances' views agree again")
    {
        fixture.start("/search");
        CHECK(answerAllNotHeld(fixture) >= 4); // Owner and standby of both replicas.
        CHECK(fixture.takeAnswers().empty());
        CHECK(fixture.takeWork().empty());
        fixture.instances = { fixture.instances[0] };
        fixture.instances[0].name = InstanceName("new");
        fixture.advance(15ms);
        const auto work = fixture.takeWork();
        CHECK(fixture.legCount(work) == 2);
        for (const auto& sent : work) {
            CHECK(sent.relay == InstanceName("new"));
            for (const auto& leg : sent.work.legs)
                fixture.answer(sent, leg);
        }
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].isComplete());
        CHECK(fixture.engine->counters().reroutes == 2);
    }
    SUBCASE("An order that no relay held is rerouted, since it ran nowhere")
    {
        fixture.start("/order");
        CHECK(answerAllNotHeld(fixture) >= 2);
        CHECK(fixture.takeAnswers().empty());
        fixture.advance(15ms);
        auto work = fixture.takeWork();
        REQUIRE(work.size() == 1);
        fixture.end(work[0], work[0].work.legs[0], LegOutcome::Lost);
        CHECK(fixture.takeWork().empty());
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Unknown));
    }
    SUBCASE("Rerouted attempts are paced by pauses and end at the deadline")
    {
        fixture.start("/search");
        std::size_t n = answerAllNotHeld(fixture);
        for (int i = 0; i < 200; ++i) {
            fixture.advance(1ms);
            n += answerAllNotHeld(fixture);
        }
        CHECK(n <= 2 * 20);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        REQUIRE(answers[0].refusal);
        CHECK((answers[0].runState == RunState::NotRun));
        CHECK(fixture.engine->inFlight() == 0);
    }
    SUBCASE("Legs go through leaving instances when there are no others")
    {
        fixture.start("/search");
        setHealth(fixture, InstanceHealth::Leaving);
        CHECK(answerAllNotHeld(fixture) >= 4);
        fixture.advance(15ms);
        CHECK(fixture.legCount(fixture.takeWork()) == 2);
    }
    SUBCASE("A rerouted leg that a server refuses stays within the retry budget")
    {
        fixture.rules[0].retryBudget = Share { 0 };
        fixture.start("/search");
        for (auto work = fixture.takeWork(); !work.empty(); work = fixture.takeWork()) {
            for (const auto& sent : work) {
                for (const auto& leg : sent.work.legs)
                    fixture.end(sent, leg, leg.attempt.value() == 0 ? LegOutcome::NotHeld : LegOutcome::Refused);
            }
        }
        fixture.advance(15ms);
        CHECK(fixture.takeWork().empty());
        CHECK(fixture.takeAnswers().size() == 1);
    }
}

TEST_CASE("A search about to end for lack of coverage does not wake the timer repeatedly" * doctest::test_suite("query"))
{
    QueryFixture fixture(8);
    fixture.start("/search");
    const auto work = fixture.takeWork();
    const auto endLeg = [&](std::size_t number, LegOutcome outcome) {
        for (const auto& sent : work) {
            for (const auto& leg : sent.work.legs) {
                if (leg.leg == LegNumber(static_cast<std::uint32_t>(number)))
                    fixture.end(sent, leg, outcome);
            }
        }
    };
    // One leg waits for a relay that holds its server; then more legs end than the rule can spare.
    endLeg(0, LegOutcome::NotHeld);
    answerAllNotHeld(fixture);
    fixture.advance(5ms);
    for (const std::size_t number : { 1, 2, 3 })
        endLeg(number, LegOutcome::Quarantined);
    CHECK(fixture.takeAnswers().empty());
    std::size_t wakes = 0;
    const auto end = fixture.now + 10ms;
    for (; fixture.engine->nextWake() <= end && wakes < 100; ++wakes) {
        const auto at = std::max(fixture.now, fixture.engine->nextWake());
        fixture.now = at;
        fixture.engine->onTimer(at, fixture.actions);
        CHECK(fixture.engine->nextWake() > at);
    }
    CHECK(wakes <= 3);
    CHECK(fixture.takeAnswers().size() == 1);
}

TEST_CASE("The answer of a refused search names every shard as missing" * doctest::test_suite("query"))
{
    QueryFixture fixture(4);
    fixture.start("/search");
    bool isFirst = true;
    for (auto work = fixture.takeWork(); !work.empty(); work = fixture.takeWork()) {
        for (const auto& sent : work) {
            for (const auto& leg : sent.work.legs) {
                fixture.end(sent, leg, isFirst ? LegOutcome::Ok : LegOutcome::Failed);
                isFirst = false;
            }
        }
    }
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    REQUIRE(answers[0].refusal);
    CHECK(answers[0].covered.empty());
    CHECK(answers[0].missing.size() == 4);
    const auto left = std::count_if(answers[0].missing.begin(), answers[0].missing.end(), [](const auto& it) { return it.reason.find("left out") != std::string::npos; });
    CHECK(left == 1);
}

}
