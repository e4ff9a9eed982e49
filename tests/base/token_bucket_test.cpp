#include "base/token_bucket.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("A token bucket starts full and refills at its rate" * doctest::test_suite("base"))
{
    TokenBucket bucket(10, 2);
    const TimePoint start { 1s };
    CHECK(bucket.take(start));
    CHECK(bucket.take(start));
    CHECK_FALSE(bucket.take(start));
    CHECK_FALSE(bucket.take(start + 99ms));
    CHECK(bucket.take(start + 100ms));
    CHECK_FALSE(bucket.take(start + 100ms));

    SUBCASE("A token bucket refuses a token when fewer than the required minimum are left")
    {
        CHECK_FALSE(bucket.take(start + 200ms, 1.5));
        CHECK(bucket.take(start + 250ms, 1.5));
        CHECK_FALSE(bucket.take(start + 250ms));
    }
}

}
