#include "base/request_id.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("a request id survives being printed and read again" * doctest::test_suite("base"))
{
    const RequestId id { ProcessLife(0xfeedface12345678ULL), 42 };
    CHECK(id.toString() == "feedface12345678000000000000002a");
    CHECK(RequestId::parse(id.toString()) == id);

    SUBCASE("text of another length is refused")
    {
        CHECK_FALSE(RequestId::parse("feedface"));
    }
    SUBCASE("text that is not hexadecimal is refused")
    {
        CHECK_FALSE(RequestId::parse("feedface1234567800000000000000zz"));
    }
}

}
