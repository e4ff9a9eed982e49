#include "query/latency_histogram.h"
#include "query/ratio_token_bucket.h"
#include "query/rule_budgets.h"
#include "query_fixture.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

/// Runs complete queries whose legs each take legTime, to fill the latency histograms of the classes.
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

/// Answers all legs except the last n, and returns those.
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

TEST_CASE("The engine hedges late legs" * doctest::test_suite("query"))
{
    QueryFixture fixture(20);
    warmUp(fixture, 40, 5ms);
    fixture.start("/search");
    fixture.advance(5ms);

    SUBCASE("The last outstanding leg is hedged at the other replica")
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
        SUBCASE("The first attempt is cancelled when the hedge is answered first")
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
        SUBCASE("The hedge is cancelled when the first attempt is answered first")
        {
            fixture.answer(late[0].first, late[0].second);
            CHECK(fixture.takeAnswers().size() == 1);
            const auto cancels = fixture.takeCancels();
            REQUIRE(cancels.size() == 1);
            CHECK(cancels[0].key.attempt == hedge.attempt);
        }
        SUBCASE("The first attempt is still awaited when the hedge is refused")
        {
            fixture.end(work[0], hedge, LegOutcome::Refused);
            CHECK(fixture.takeWork().empty());
            fixture.answer(late[0].first, late[0].second);
            CHECK(fixture.takeAnswers().size() == 1);
        }
    }
    SUBCASE("A leg that takes only a little longer than usual is not hedged")
    {
        answerAllBut(fixture, 1);
        fixture.advance(800us);
        CHECK(fixture.takeWork().empty());
    }
    SUBCASE("A leg that is only just late is not hedged while many legs are outstanding")
    {
        answerAllBut(fixture, 15);
        fixture.advance(3ms);
        CHECK(fixture.takeWork().empty());
    }
}

TEST_CASE("Hedges stay within their budget when every leg is late" * doctest::test_suite("query"))
{
    const std::uint64_t seed = 11;
    CAPTURE(seed);
    QueryFixture fixture(20, {}, seed);
    warmUp(fixture, 40, 5ms);
    SUBCASE("Hedges stay within 5 % when half of the legs are never answered")
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
    SUBCASE("No leg is hedged when none is answered, because the service is slow or the content harmful")
    {
        for (int i = 0; i < 200; ++i) {
            fixture.start("/search");
            fixture.advance(100ms);
        }
        CHECK(fixture.engine->counters().hedges == 0);
    }
}

TEST_CASE("An engine spends hedges that another engine of the instance saved" * doctest::test_suite("query"))
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
    // A single query earns less than one hedge.
    CHECK(second.takeWork().empty());
    warmUp(first, 4, 5ms);
    second.advance(25ms);
    CHECK_FALSE(second.takeWork().empty());
}

TEST_CASE("Without answers, retries stop when the initial tokens are spent" * doctest::test_suite("query"))
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

TEST_CASE("A refused leg is retried at once at the other replica" * doctest::test_suite("query"))
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

TEST_CASE("The latency histogram returns quantiles of recent latencies" * doctest::test_suite("query"))
{
    LatencyHistogram histogram;
    CHECK(histogram.quantile(Share { 0.5 }).count() == 0);
    for (int i = 1; i <= 1000; ++i)
        histogram.add(Duration(i * 10));
    CHECK(histogram.quantile(Share { 0.5 }).count() == doctest::Approx(5000).epsilon(0.1));
    CHECK(histogram.quantile(Share { 0.95 }).count() == doctest::Approx(9500).epsilon(0.1));

    SUBCASE("The weight of old samples decays")
    {
        for (int i = 0; i < 40000; ++i)
            histogram.add(1ms);
        CHECK(histogram.quantile(Share { 0.99 }).count() == doctest::Approx(1000).epsilon(0.1));
    }
    SUBCASE("Latencies outside the range count in the first or last bucket")
    {
        histogram.add(Duration(-5));
        histogram.add(24h);
        CHECK(histogram.weight() == 1002);
    }
}

TEST_CASE("A token bucket spends no more tokens than were earned, up to its capacity" * doctest::test_suite("query"))
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
