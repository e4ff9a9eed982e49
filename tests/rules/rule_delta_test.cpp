#include "rules/rule_delta.h"

#include "base/random_source.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

const RuleRevision first(1);
const RuleRevision second(2);

std::string randomText(SeededRandom& random)
{
    std::string text;
    for (auto n = random.below(12); n > 0; --n)
        text += std::string(random.below(3), static_cast<char>('a' + random.below(3))) + (random.below(8) ? "\n" : "");
    return text;
}

}

TEST_CASE("A rule delta turns the base text into the newer text" * doctest::test_suite("rules"))
{
    SUBCASE("The delta holds only the lines that changed")
    {
        const std::string base = "one\ntwo\nthree\nfour\n";
        const std::string text = "one\nTWO\nthree\nand\nfour\n";
        const auto delta = makeRuleDelta(first, base, second, text);
        CHECK(delta.removedLines == std::vector<std::uint32_t> { 1 });
        CHECK(delta.addedLines == std::vector<AddedLine> { { 1, "TWO" }, { 3, "and" } });
        CHECK(applyRuleDelta(base, delta) == text);
        CHECK(describeRuleDelta(base, delta) == "-2: two\n+2: TWO\n+4: and\n");
    }
    SUBCASE("The delta works for random texts")
    {
        constexpr std::uint64_t seed = 20261204;
        CAPTURE(seed);
        SeededRandom random(seed);
        for (int i = 0; i < 2000; ++i) {
            const auto base = randomText(random);
            const auto text = randomText(random);
            CAPTURE(base);
            CAPTURE(text);
            REQUIRE(applyRuleDelta(base, makeRuleDelta(first, base, second, text)) == text);
        }
    }
    SUBCASE("The delta replaces a changed range that is too large to compare line by line")
    {
        std::string base;
        std::string text;
        for (int i = 0; i < 3000; ++i) {
            base += "old " + std::to_string(i) + "\n";
            text += "new " + std::to_string(i) + "\n";
        }
        CHECK(applyRuleDelta(base, makeRuleDelta(first, base, second, text)) == text);
    }
}

TEST_CASE("applyRuleDelta returns nothing when the delta does not apply" * doctest::test_suite("rules"))
{
    const std::string base = "one\ntwo\n";
    auto delta = makeRuleDelta(first, base, second, "one\nthree\n");
    SUBCASE("The delta is applied to another base text")
    {
        CHECK_FALSE(applyRuleDelta("one\nTWO\nmore\n", delta));
    }
    SUBCASE("The hash is that of another revision")
    {
        delta.revision = RuleRevision(3);
        CHECK_FALSE(applyRuleDelta(base, delta));
    }
    SUBCASE("Positions are out of range or out of order")
    {
        delta.removedLines = { 7 };
        CHECK_FALSE(applyRuleDelta(base, delta));
        delta.removedLines = { 1, 0 };
        CHECK_FALSE(applyRuleDelta(base, delta));
        delta.removedLines = {};
        delta.addedLines = { { 4'000'000'000U, "x" } };
        CHECK_FALSE(applyRuleDelta(base, delta));
    }
    SUBCASE("The result exceeds the size limit of a rule file")
    {
        delta.addedLines = { { 0, std::string(maxRuleFileBytes, 'x') } };
        CHECK_FALSE(applyRuleDelta(base, delta));
    }
}

}
