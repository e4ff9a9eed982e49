#include "forward/record_merge.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("The merge combines the parts of a search" * doctest::test_suite("forward"))
{
    const auto record = [](char c) { return std::string(recordBytes, c); };

    SUBCASE("The merge returns the greatest records first and keeps equal records")
    {
        const auto one = record('a') + record('c');
        const auto two = record('c') + record('b');
        CHECK(greatestRecords({ one, two }, 3) == record('c') + record('c') + record('b'));
    }
    SUBCASE("The merge compares bytes as unsigned values")
    {
        const auto part = record('\x7f') + record('\xff');
        CHECK(greatestRecords({ part }, 1) == record('\xff'));
    }
    SUBCASE("The merge ignores trailing bytes that are shorter than a record")
    {
        const auto part = record('a') + "zzz";
        CHECK(greatestRecords({ part }, 5) == record('a'));
        CHECK(greatestRecords({ std::string_view("zzz") }, 5).empty());
    }
}

}
