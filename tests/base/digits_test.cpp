#include "base/digits.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("a number of another program" * doctest::test_suite("base"))
{
    SUBCASE("is read up to 64 bits")
    {
        CHECK(parseDigits("0") == 0);
        CHECK(parseDigits("007") == 7);
        CHECK(parseDigits("18446744073709551615") == 18446744073709551615ULL);
    }
    SUBCASE("is refused when it is longer, or anything but digits")
    {
        for (const auto* text : { "", "18446744073709551616", "-1", "+1", " 1", "1 ", "1.5", "0x1", "one" })
            CHECK_FALSE(parseDigits(text));
    }
}

}
