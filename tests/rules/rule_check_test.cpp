#include "rules/rule_check.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

const ShardCounts counts { { ServiceName("quotedesk"), 20 } };

std::vector<RuleError> check(const std::string& text)
{
    auto parsed = parseRules(text, RuleRevision(1));
    REQUIRE(std::holds_alternative<RuleTable>(parsed));
    return checkRules(std::get<RuleTable>(parsed), counts);
}

std::string messageOf(const std::string& words)
{
    const auto errors = check("match /a service quotedesk " + words + " # Ngozi: test\n");
    REQUIRE(errors.size() == 1);
    CHECK(errors.front().line == 1);
    CHECK_FALSE(errors.front().remedy.empty());
    return errors.front().message;
}

}

TEST_CASE("checkRules finds rules that are valid in the grammar but have no useful meaning" * doctest::test_suite("rules"))
{
    SUBCASE("A valid rule has no errors")
    {
        CHECK(check("match /a service quotedesk deadline 80ms soft 60ms coverage 95% prefer tail # x\n").empty());
        CHECK(check("match /a service quotedesk kind order deadline 80ms hedge 0% retry 0% # x\n").empty());
    }
    SUBCASE("A rule with a service that is not in the catalog is an error")
    {
        const auto errors = check("match /a service nobody deadline 1s # x\n");
        REQUIRE(errors.size() == 1);
        CHECK(errors.front().remedy.find("quotedesk") != std::string::npos);
    }
    SUBCASE("A rule with the path or the name of an earlier rule is an error")
    {
        const std::string rule = "match /a name n service quotedesk deadline 1s # x\n";
        CHECK(check(rule + rule).size() == 1);
        CHECK(check(rule + "match /b name n service quotedesk deadline 1s # x\n").size() == 1);
        CHECK(check(rule + "match /a/b service quotedesk deadline 1s # x\n").empty());
    }
    SUBCASE("A soft deadline that contradicts the deadline or the preference is an error")
    {
        CHECK(messageOf("deadline 80ms soft 80ms prefer tail coverage 95%").find("soft is not below") != std::string::npos);
        CHECK(messageOf("deadline 80ms prefer tail coverage 95%").find("needs a soft") != std::string::npos);
        CHECK(messageOf("deadline 80ms soft 20ms").find("no effect") != std::string::npos);
    }
    SUBCASE("A coverage that is 0% or contradicts the preference or the kind is an error")
    {
        CHECK(messageOf("deadline 80ms coverage 0%").find("0%") != std::string::npos);
        CHECK(messageOf("deadline 80ms soft 20ms prefer tail").find("never answer early") != std::string::npos);
        CHECK(messageOf("deadline 80ms kind record coverage 50%").find("one shard") != std::string::npos);
    }
    SUBCASE("A hedge or retry budget of an order is an error")
    {
        CHECK(messageOf("deadline 80ms kind order retry 0%").find("hedged") != std::string::npos);
        CHECK(messageOf("deadline 80ms kind order hedge 0%").find("retried") != std::string::npos);
    }
}

}
