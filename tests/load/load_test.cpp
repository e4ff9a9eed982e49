#include "daemon/answer_json.h"
#include "load/answer_check.h"
#include "load/load_plan.h"
#include "load/load_report.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

const std::string request = "{\"nonce\":\"1\"}";

std::string answer(const std::string& secondVersion, const std::string& secondEcho, const std::string& covered, const std::string& missing, const std::string& complete, int total = 2)
{
    return R"({"request":"a","run":"ran","snapshot":3,"epoch":1,"coverage":{"complete":)" + complete + R"(,"covered":)" + covered
        + R"(,"total":)" + std::to_string(total) + R"(,"batches":[],"missing":)" + missing + R"(},"results":[{"shard":0,"result":{"version":3,"echo":"{\"nonce\":\"1\"}"}},)"
        + R"({"shard":1,"result":{"version":)" + secondVersion + R"(,"echo":")" + secondEcho + R"("}}]})";
}

}

TEST_CASE("The load tool verifies answers" * doctest::test_suite("load"))
{
    const std::string own = R"({\"nonce\":\"1\"})";

    SUBCASE("A complete answer to the caller's own request is complete")
    {
        CHECK(checkAnswer(200, answer("3", own, "[0,1]", "[]", "true"), request).outcome == LoadOutcome::Complete);
    }
    SUBCASE("An answer with results of two snapshots is wrong")
    {
        CHECK(checkAnswer(200, answer("4", own, "[0,1]", "[]", "true"), request).outcome == LoadOutcome::Wrong);
    }
    SUBCASE("An answer to another caller's request is wrong")
    {
        CHECK(checkAnswer(200, answer("3", "other", "[0,1]", "[]", "true"), request).outcome == LoadOutcome::Wrong);
    }
    SUBCASE("An answer whose coverage differs from the shards with a result is wrong")
    {
        CHECK(checkAnswer(200, answer("3", own, "[0,1,2]", "[]", "true"), request).outcome == LoadOutcome::Wrong);
        CHECK(checkAnswer(200, answer("3", own, "[0]", "[]", "true"), request).outcome == LoadOutcome::Wrong);
    }
    SUBCASE("A partial answer with the status of a complete one is wrong")
    {
        const std::string missing = R"([{"shard":2,"reason":"late"}])";
        CHECK(checkAnswer(200, answer("3", own, "[0,1]", missing, "false"), request).outcome == LoadOutcome::Wrong);
    }
    SUBCASE("A shard is missing or has a result, but not both, and no shard is left out of the coverage")
    {
        const auto outcomeWith = [&](const std::string& missing) { return checkAnswer(206, answer("3", own, "[0,1]", missing, "false", 3), request).outcome; };
        CHECK(outcomeWith(R"([{"shard":2,"reason":"late"}])") == LoadOutcome::Partial);
        CHECK(outcomeWith("[]") == LoadOutcome::Wrong);
        CHECK(outcomeWith(R"([{"shard":1,"reason":"late"}])") == LoadOutcome::Wrong);
        CHECK(outcomeWith(R"([{"shard":2,"reason":"late"},{"shard":2,"reason":"late"}])") == LoadOutcome::Wrong);
        CHECK(outcomeWith(R"([{"shard":2,"reason":"batches not covered: b7"}])") == LoadOutcome::Wrong);

        SUBCASE("A shard whose result lacks batches, as after a repartition, is listed in addition")
        {
            CHECK(outcomeWith(R"([{"shard":2,"reason":"late"},{"shard":1,"reason":"batches not covered: b4 b5"}])") == LoadOutcome::Partial);
            CHECK(outcomeWith(R"([{"shard":1,"reason":"batches not covered: b4 b5"}])") == LoadOutcome::Wrong);
        }
    }
    SUBCASE("An answer of the product that lacks a batch of a covered shard passes the check")
    {
        Answer lacking;
        lacking.version = IndexVersion(3);
        lacking.covered = { { ShardNumber(0), { BatchId("b1") }, R"({"version":3,"echo":"{\"nonce\":\"1\"}"})", { BatchId("b2") } } };
        CHECK(checkAnswer(206, formatAnswer(lacking), request).outcome == LoadOutcome::Partial);
    }
    SUBCASE("A refusal is reported with its kind")
    {
        const auto checked = checkAnswer(503, R"({"run":"not run","error":{"kind":"overloaded"}})", request);
        CHECK(checked == CheckedAnswer { LoadOutcome::Refused, "overloaded" });
    }
    SUBCASE("An answer whose body is not JSON is wrong")
    {
        CHECK(checkAnswer(200, "<html>", request).outcome == LoadOutcome::Wrong);
    }
}

TEST_CASE("A request class is parsed from its option, and invalid ones are errors" * doctest::test_suite("load"))
{
    const auto requestClass = parseRequestClass("van:/search/van:search:0.5:80");
    REQUIRE(requestClass);
    CHECK(requestClass.value() == RequestClass { "van", "/search/van", RequestKind::Search, 0.5, 80ms });
    CHECK(parseRequestClass("van:/search/van:sing:0.5:80").has_error());
    CHECK(parseRequestClass("van:/search/van:search:-1:80").has_error());
}

TEST_CASE("The figures of a class include the latency of cut requests" * doctest::test_suite("load"))
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
