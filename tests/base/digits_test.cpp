#include "base/digits.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("parseDigits reads a number that another program wrote" * doctest::test_suite("base"))
{
    SUBCASE("parseDigits accepts digits up to the maximum of 64 bits")
    {
        CHECK(parseDigits("0") == 0);
        CHECK(parseDigits("007") == 7);
        CHECK(parseDigits("18446744073709551615") == 18446744073709551615ULL);
    }
    SUBCASE("parseDigits refuses a number above 64 bits and any text with a character that is not a digit")
    {
        for (const auto* text : { "", "18446744073709551616", "-1", "+1", " 1", "1 ", "1.5", "0x1", "one" })
            CHECK_FALSE(parseDigits(text));
    }
}

}
