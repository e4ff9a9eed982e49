#include "json_text.h"

#include <doctest/doctest.h>

#include <string>

namespace lycheefield {

TEST_CASE("JSON text is split into its values without parsing them" * doctest::test_suite("adapter"))
{
    const std::string text = R"( {"a" : [1, {"b":"]}"}], "c":"\\\"}", "d":-1e999 , "e":{}} )";
    const auto members = membersOf(text);
    REQUIRE(members);
    CHECK(members->size() == 4);
    CHECK(valueOf(*members, "a") == R"([1, {"b":"]}"}])");
    CHECK(valueOf(*members, "c") == R"("\\\"}")");
    CHECK(valueOf(*members, "d") == "-1e999");
    CHECK(valueOf(*members, "e") == "{}");
    CHECK(valueOf(*members, "f").empty());
    CHECK(elementsOf(valueOf(*members, "a")) == std::vector<std::string_view> { "1", R"({"b":"]}"})" });
    CHECK(elementsOf("[]")->empty());
    CHECK(membersOf("{}")->empty());

    SUBCASE("Text that ends early or is no object or array gives nothing")
    {
        for (std::size_t n = 0; n + 2 < text.size(); ++n)
            CHECK_FALSE(membersOf(std::string_view(text).substr(0, n)));
        for (const auto* it : { "", "7", "\"", "\"\\", "[", "[1,", "[1,]", "[1}", "[[1]", "{}", "[1] x" })
            CHECK_FALSE(elementsOf(it));
        for (const auto* it : { "{\"a\"}", "{\"a\":}", "{a:1}", "{\"a\":1,}", "[]", "{\"a\":1]" })
            CHECK_FALSE(membersOf(it));
    }
    // Guards against a name without an end, which took the reader past the end of the text.
    SUBCASE("Text that ends in a name or in its last backslash gives nothing")
    {
        for (const auto* it : { "{\"", "{\"a", "{\"a\\", "{\"a\":1,\"b\\", "{\"\\" })
            CHECK_FALSE(membersOf(it));
    }
    SUBCASE("Depth costs no stack")
    {
        constexpr std::size_t depth = 1'000'000;
        const auto nested = std::string(depth, '[') + std::string(depth, ']');
        CHECK(elementsOf(nested)->size() == 1);
        CHECK_FALSE(elementsOf(std::string(depth, '[')));
    }
}

}
