#include "base/request_id.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("A request id that is formatted and parsed again is unchanged" * doctest::test_suite("base"))
{
    const RequestId id { ProcessLife(0xfeedface12345678ULL), 42 };
    CHECK(id.toString() == "feedface12345678000000000000002a");
    CHECK(RequestId::parse(id.toString()) == id);

    SUBCASE("RequestId::parse refuses a text that is not 32 characters long")
    {
        CHECK_FALSE(RequestId::parse("feedface"));
    }
    SUBCASE("RequestId::parse refuses a text with a character that is not a hexadecimal digit")
    {
        CHECK_FALSE(RequestId::parse("feedface1234567800000000000000zz"));
    }
}

}
