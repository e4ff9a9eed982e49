#include "load/answer_check.h"
#include "load/load_plan.h"
#include "load/load_report.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

const std::string request = "{\"nonce\":\"1\"}";

std::string answer(const std::string& secondVersion, const std::string& secondEcho, const std::string& covered, const std::string& missing, const std::string& complete)
{
    return R"({"request":"a","run":"ran","snapshot":3,"epoch":1,"coverage":{"complete":)" + complete + R"(,"covered":)" + covered
        + R"(,"total":2,"batches":[],"missing":)" + missing + R"(},"results":[{"shard":0,"result":{"version":3,"echo":"{\"nonce\":\"1\"}"}},)"
        + R"({"shard":1,"result":{"version":)" + secondVersion + R"(,"echo":")" + secondEcho + R"("}}]})";
}

}

TEST_CASE("the load tool judges answers" * doctest::test_suite("load"))
{
    const std::string own = R"({\"nonce\":\"1\"})";

    SUBCASE("a complete answer to the own request passes")
    {
        CHECK(checkAnswer(200, answer("3", own, "[0,1]", "[]", "true"), request).outcome == LoadOutcome::Complete);
    }
    SUBCASE("two snapshots in one answer are wrong")
    {
        CHECK(checkAnswer(200, answer("4", own, "[0,1]", "[]", "true"), request).outcome == LoadOutcome::Wrong);
    }
    SUBCASE("another caller's answer is wrong")
    {
        CHECK(checkAnswer(200, answer("3", "other", "[0,1]", "[]", "true"), request).outcome == LoadOutcome::Wrong);
    }
    SUBCASE("coverage that claims a shard without a result is wrong")
    {
        CHECK(checkAnswer(200, answer("3", own, "[0,1,2]", "[]", "true"), request).outcome == LoadOutcome::Wrong);
        CHECK(checkAnswer(200, answer("3", own, "[0]", "[]", "true"), request).outcome == LoadOutcome::Wrong);
    }
    SUBCASE("a full status on a partial answer is wrong")
    {
        const std::string missing = R"([{"shard":2,"reason":"late"}])";
        CHECK(checkAnswer(200, answer("3", own, "[0,1]", missing, "false"), request).outcome == LoadOutcome::Wrong);
    }
    SUBCASE("a refusal keeps its kind")
    {
        const auto checked = checkAnswer(503, R"({"run":"not run","error":{"kind":"overloaded"}})", request);
        CHECK(checked == CheckedAnswer { LoadOutcome::Refused, "overloaded" });
    }
    SUBCASE("a body that is no JSON is wrong")
    {
        CHECK(checkAnswer(200, "<html>", request).outcome == LoadOutcome::Wrong);
    }
}

TEST_CASE("a load plan is read from its options" * doctest::test_suite("load"))
{
    const auto requestClass = parseRequestClass("van:/search/van:search:0.5:80");
    REQUIRE(requestClass);
    CHECK(requestClass.value() == RequestClass { "van", "/search/van", RequestKind::Search, 0.5, 80ms });
    CHECK(parseRequestClass("van:/search/van:sing:0.5:80").has_error());
    CHECK(parseRequestClass("van:/search/van:search:-1:80").has_error());
}

TEST_CASE("quantiles count from the intended send time, cut requests included" * doctest::test_suite("load"))
{
    std::vector<Observation> observations(100);
    std::vector<const Observation*> pointers;
    for (int i = 0; i < 100; ++i) {
        observations[i].latency = 1ms * (i + 1);
        observations[i].outcome = i < 90 ? LoadOutcome::Complete : LoadOutcome::Cut;
        pointers.push_back(&observations[i]);
    }
    const auto figures = figuresOf(pointers, 50ms);
    CHECK(figures.requests == 100);
    CHECK(figures.inTime == 50);
    CHECK(figures.p99 == 100ms);
    CHECK(figures.outcomes.at(LoadOutcome::Cut) == 10);
}

}
