#include "query/latency_histogram.h"
#include "query/ratio_token_bucket.h"
#include "query/rule_budgets.h"
#include "query_fixture.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

/// Runs whole queries whose legs each take that long, so that the classes know what is usual.
void warmUp(QueryFixture& fixture, int queries, Duration legTime)
{
    for (int i = 0; i < queries; ++i) {
        fixture.start("/search");
        const auto work = fixture.takeWork();
        fixture.advance(legTime);
        for (const auto& it : work) {
            for (const auto& leg : it.work.legs)
                fixture.answer(it, leg);
        }
    }
    fixture.takeAnswers();
    fixture.takeCancels();
}

/// Answers all legs but the last n, which are returned.
std::vector<std::pair<SendWork, LegOrder>> answerAllBut(QueryFixture& fixture, std::size_t n)
{
    std::vector<std::pair<SendWork, LegOrder>> legs;
    for (const auto& it : fixture.takeWork()) {
        for (const auto& leg : it.work.legs)
            legs.emplace_back(it, leg);
    }
    while (legs.size() > n) {
        fixture.answer(legs.front().first, legs.front().second);
        legs.erase(legs.begin());
    }
    return legs;
}

}

TEST_CASE("late legs are hedged" * doctest::test_suite("query"))
{
    QueryFixture fixture(20);
    warmUp(fixture, 40, 5ms);
    fixture.start("/search");
    fixture.advance(5ms);

    SUBCASE("the last one outstanding goes to the other replica too, and the loser is cancelled")
    {
        const auto late = answerAllBut(fixture, 1);
        fixture.advance(3ms);
        const auto work = fixture.takeWork();
        REQUIRE(fixture.legCount(work) == 1);
        const auto& hedge = work[0].work.legs[0];
        CHECK(hedge.isHedge);
        CHECK(hedge.leg == late[0].second.leg);
        CHECK(hedge.server != late[0].second.server);
        CHECK(hedge.attempt != late[0].second.attempt);
        SUBCASE("the hedge wins")
        {
            fixture.answer(work[0], hedge);
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK(answers[0].isComplete());
            const auto cancels = fixture.takeCancels();
            REQUIRE(cancels.size() == 1);
            CHECK(cancels[0].key.attempt == late[0].second.attempt);
            CHECK(cancels[0].relay == late[0].first.relay);
            fixture.answer(late[0].first, late[0].second);
            CHECK(fixture.engine->counters().strayResults == 1);
            CHECK(fixture.takeAnswers().empty());
        }
        SUBCASE("the first attempt wins")
        {
            fixture.answer(late[0].first, late[0].second);
            CHECK(fixture.takeAnswers().size() == 1);
            const auto cancels = fixture.takeCancels();
            REQUIRE(cancels.size() == 1);
            CHECK(cancels[0].key.attempt == hedge.attempt);
        }
        SUBCASE("the hedge is refused: the first attempt is still awaited")
        {
            fixture.end(work[0], hedge, LegOutcome::Refused);
            CHECK(fixture.takeWork().empty());
            fixture.answer(late[0].first, late[0].second);
            CHECK(fixture.takeAnswers().size() == 1);
        }
    }
    SUBCASE("one that takes only a little longer than usual is not late")
    {
        answerAllBut(fixture, 1);
        fixture.advance(800us);
        CHECK(fixture.takeWork().empty());
    }
    SUBCASE("while many are outstanding a leg that is only just late is not")
    {
        answerAllBut(fixture, 15);
        fixture.advance(3ms);
        CHECK(fixture.takeWork().empty());
    }
}

TEST_CASE("hedges keep to their budget when every leg is late" * doctest::test_suite("query"))
{
    const std::uint64_t seed = 11;
    CAPTURE(seed);
    QueryFixture fixture(20, {}, seed);
    warmUp(fixture, 40, 5ms);
    SUBCASE("half of the legs are answered, the others never")
    {
        for (int i = 0; i < 200; ++i) {
            fixture.start("/search");
            answerAllBut(fixture, 10);
            fixture.advance(100ms);
            fixture.takeWork();
            const auto counters = fixture.engine->counters();
            CHECK(static_cast<double>(counters.hedges) <= 0.05 * static_cast<double>(counters.firstLegs) + 1e-6);
        }
        CHECK(fixture.engine->counters().hedges > 0);
    }
    SUBCASE("no leg is answered: the service is slow or the content harmful, and nothing is hedged")
    {
        for (int i = 0; i < 200; ++i) {
            fixture.start("/search");
            fixture.advance(100ms);
        }
        CHECK(fixture.engine->counters().hedges == 0);
    }
}

TEST_CASE("what one engine of an instance saved, another spends" * doctest::test_suite("query"))
{
    const auto budgets = std::make_shared<RuleBudgets>();
    QueryFixture first(20, {}, 1, budgets);
    QueryFixture second(20, {}, 2, budgets);
    warmUp(second, 40, 5ms);
    while (budgets->of("search")->spendHedge()) { }
    second.start("/search");
    second.advance(5ms);
    answerAllBut(second, 1);
    second.advance(10ms);
    // One query earned less than a hedge.
    CHECK(second.takeWork().empty());
    warmUp(first, 4, 5ms);
    second.advance(25ms);
    CHECK_FALSE(second.takeWork().empty());
}

TEST_CASE("when nothing is answered, retries end with what was saved" * doctest::test_suite("query"))
{
    const std::uint64_t seed = 12;
    CAPTURE(seed);
    for (const auto outcome : { LegOutcome::Refused, LegOutcome::Failed, LegOutcome::Lost, LegOutcome::Expired }) {
        QueryFixture fixture(20, {}, seed);
        for (int i = 0; i < 100; ++i) {
            fixture.start("/search");
            for (auto work = fixture.takeWork(); !work.empty(); work = fixture.takeWork()) {
                for (const auto& it : work) {
                    for (const auto& leg : it.work.legs)
                        fixture.end(it, leg, outcome);
                }
            }
        }
        const auto counters = fixture.engine->counters();
        const double initialTokens = 10;
        CHECK(counters.retries > 0);
        CHECK(static_cast<double>(counters.hedges + counters.retries) <= initialTokens);
        CHECK(fixture.takeAnswers().size() == 100);
    }
}

TEST_CASE("a refusal is retried at once at the other replica" * doctest::test_suite("query"))
{
    QueryFixture fixture(4);
    fixture.start("/search");
    const auto first = fixture.takeWork();
    fixture.end(first[0], first[0].work.legs[0], LegOutcome::Refused);
    const auto again = fixture.takeWork();
    REQUIRE(fixture.legCount(again) == 1);
    CHECK(again[0].work.legs[0].leg == first[0].work.legs[0].leg);
    CHECK(again[0].work.legs[0].server != first[0].work.legs[0].server);
}

TEST_CASE("quantiles of recent latencies" * doctest::test_suite("query"))
{
    LatencyHistogram histogram;
    CHECK(histogram.quantile(Share { 0.5 }).count() == 0);
    for (int i = 1; i <= 1000; ++i)
        histogram.add(Duration(i * 10));
    CHECK(histogram.quantile(Share { 0.5 }).count() == doctest::Approx(5000).epsilon(0.1));
    CHECK(histogram.quantile(Share { 0.95 }).count() == doctest::Approx(9500).epsilon(0.1));

    SUBCASE("old samples fade")
    {
        for (int i = 0; i < 40000; ++i)
            histogram.add(1ms);
        CHECK(histogram.quantile(Share { 0.99 }).count() == doctest::Approx(1000).epsilon(0.1));
    }
    SUBCASE("values outside the range count at its ends")
    {
        histogram.add(Duration(-5));
        histogram.add(24h);
        CHECK(histogram.weight() == 1002);
    }
}

TEST_CASE("a token bucket spends what was earned and no more" * doctest::test_suite("query"))
{
    RatioTokenBucket bucket(0, 3);
    CHECK_FALSE(bucket.spend());
    bucket.earn(Share { 0.05 }, 20);
    CHECK(bucket.spend());
    CHECK_FALSE(bucket.spend());
    bucket.earn(Share { 0.05 }, 1000);
    CHECK(bucket.tokens() == 3);
}

}
