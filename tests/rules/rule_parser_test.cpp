#include "rules/rule_parser.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace lycheefield {

namespace {

const std::string vanRule = "match /search/quotes service quotedesk kind search priority van deadline 80ms soft 60ms coverage 95% prefer tail hedge 5% retry 10%  "
                            "# asked by Ngozi (van team), 2026-11-30: van lookups first";

RuleTable tableOf(const std::string& text)
{
    auto parsed = parseRules(text, RuleRevision(7));
    REQUIRE(std::holds_alternative<RuleTable>(parsed));
    return std::get<RuleTable>(parsed);
}

std::vector<RuleError> errorsOf(const std::string& text)
{
    auto parsed = parseRules(text, RuleRevision(7));
    REQUIRE(std::holds_alternative<std::vector<RuleError>>(parsed));
    return std::get<std::vector<RuleError>>(parsed);
}

}

TEST_CASE("parseRules returns all rules of a valid file" * doctest::test_suite("rules"))
{
    SUBCASE("Every key of a line sets its member of the rule")
    {
        const auto table = tableOf("# who edits this file: operators\n\n" + vanRule + "\n");
        REQUIRE(table.rules().size() == 1);
        const auto& rule = table.rules().front();
        CHECK(rule.name == "/search/quotes");
        CHECK(rule.pathPrefix == "/search/quotes");
        CHECK(rule.service == ServiceName("quotedesk"));
        CHECK(rule.kind == RequestKind::Search);
        CHECK((rule.priority == Priority::Van));
        CHECK(rule.deadline == std::chrono::milliseconds(80));
        CHECK(rule.softDeadline == std::chrono::milliseconds(60));
        CHECK(rule.minCoverage == percent(95));
        CHECK(rule.preference == AnswerPreference::Tail);
        CHECK(rule.hedgeBudget == percent(5));
        CHECK(rule.retryBudget == percent(10));
        CHECK(rule.comment == "asked by Ngozi (van team), 2026-11-30: van lookups first");
        CHECK(rule.line == 3);
        CHECK(table.revision() == RuleRevision(7));
        CHECK(table.source().find("who edits this file") != std::string::npos);
    }
    SUBCASE("Missing keys have default values, and a comment may contain UTF-8 and more '#'")
    {
        const auto table = tableOf("match /a service s deadline 1s # Sắc Ngói: #1 wish\r\n");
        CHECK(table.rules().front().comment == "Sắc Ngói: #1 wish");
        CHECK(table.rules().front().minCoverage == percent(100));
        CHECK(table.rules().front().hedgeBudget == Rule().hedgeBudget);
    }
    SUBCASE("An empty file is valid and has no rules")
    {
        CHECK(tableOf("").rules().empty());
        CHECK(tableOf("\n  # nothing yet\n").rules().empty());
    }
}

TEST_CASE("parseRules reports all errors of a rule file together" * doctest::test_suite("rules"))
{
    SUBCASE("Each error has a line, a column, a message and a remedy")
    {
        const auto errors = errorsOf("match /a service s deadline 1s\n" + vanRule + "\nmatch b service s deadline 0ms kind serach # x\n");
        REQUIRE(errors.size() == 4);
        CHECK(errors[0].line == 1);
        CHECK(errors[0].column == 31);
        CHECK(errors[0].message.find("comment") != std::string::npos);
        CHECK(errors[1].line == 3);
        CHECK(errors[1].column == 7);
        CHECK(errors[2].column == 28);
        CHECK(errors[3].column == 37);
        for (const auto& it : errors)
            CHECK_FALSE(it.remedy.empty());
    }
    SUBCASE("An empty comment counts as a missing comment")
    {
        CHECK(errorsOf("match /a service s deadline 1s #  \n").size() == 1);
    }
    SUBCASE("An unknown key, a repeated key and a key without a value are errors")
    {
        CHECK(errorsOf("match /a service s deadline 1s speed 3 # x").front().column == 32);
        CHECK(errorsOf("match /a service s deadline 1s service t # x").front().message.find("twice") != std::string::npos);
        CHECK(errorsOf("match /a service s deadline 1s soft # x").front().message.find("no value") != std::string::npos);
    }
    SUBCASE("A missing path, service, deadline or 'match' is an error")
    {
        CHECK(errorsOf("match # x").size() == 3);
        CHECK(errorsOf("service s deadline 1s # x").front().column == 1);
        CHECK(errorsOf("match /a deadline 1s # x").front().remedy.find("service NAME") != std::string::npos);
    }
    SUBCASE("A quantity out of range, malformed or without a unit is an error")
    {
        for (const auto* it : { "80", "80 ms", "-1ms", "1.5s", "11m", "99999999999999999999s", "999999999999h" })
            CHECK_FALSE(errorsOf("match /a service s deadline " + std::string(it) + " # x").empty());
        for (const auto* it : { "101%", "5", "nan%", "1e1%", ".5%", "100.000001%" })
            CHECK_FALSE(errorsOf("match /a service s deadline 1s coverage " + std::string(it) + " # x").empty());
    }
    SUBCASE("A file above the size limit is refused before it is parsed")
    {
        CHECK(errorsOf(std::string(513 * 1024, '#')).size() == 1);
    }
    SUBCASE("A control byte or NUL is part of its word and makes the word invalid")
    {
        CHECK(errorsOf(std::string("match /a\0b service s deadline 1s # x", 36)).front().column == 7);
    }
}

TEST_CASE("The example rule files are valid" * doctest::test_suite("rules"))
{
    for (const auto* it : { "kobowire", "sac-ngoi" }) {
        CAPTURE(it);
        std::ifstream in(std::string(LYCHEEFIELD_SOURCE_DIR "/examples/") + it + "/rules.txt");
        std::ostringstream text;
        text << in.rdbuf();
        CHECK(tableOf(text.str()).rules().size() >= 7);
    }
}

}
