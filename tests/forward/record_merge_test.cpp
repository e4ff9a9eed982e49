#include "forward/record_merge.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("the parts of a search are merged" * doctest::test_suite("forward"))
{
    const auto record = [](char c) { return std::string(recordBytes, c); };

    SUBCASE("the greatest records come first, equal ones all count")
    {
        const auto one = record('a') + record('c');
        const auto two = record('c') + record('b');
        CHECK(greatestRecords({ one, two }, 3) == record('c') + record('c') + record('b'));
    }
    SUBCASE("bytes compare without sign")
    {
        const auto part = record('\x7f') + record('\xff');
        CHECK(greatestRecords({ part }, 1) == record('\xff'));
    }
    SUBCASE("a rest that is shorter than a record is none")
    {
        const auto part = record('a') + "zzz";
        CHECK(greatestRecords({ part }, 5) == record('a'));
        CHECK(greatestRecords({ std::string_view("zzz") }, 5).empty());
    }
}

}
