#include "base/quantity_text.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("A time in milliseconds is written without its unit and truncated" * doctest::test_suite("base"))
{
    CHECK(formatMilliseconds(0us) == "0");
    CHECK(formatMilliseconds(999us) == "0");
    CHECK(formatMilliseconds(1999us) == "1");
    CHECK(formatMilliseconds(-1999us) == "-1");
    CHECK(formatMilliseconds(90s) == "90000");
}

}
