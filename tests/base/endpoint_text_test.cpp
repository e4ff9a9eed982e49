#include "base/endpoint_text.h"

#include <doctest/doctest.h>

using namespace lycheefield;

TEST_CASE("parseEndpoint accepts an IPv4 address with a port" * doctest::test_suite("base"))
{
    CHECK(parseEndpoint("127.0.0.1:80").value() == Endpoint { "127.0.0.1", 80 });
    SUBCASE("parseEndpoint refuses any other text with an error whose remedy shows a valid endpoint")
    {
        for (const auto* it : { "", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:80x", "127.0.0.1:-1", "localhost:80", "127.0.0:80", "127.0.0.256:80", ":80", "1.2.3.4:5:6" }) {
            CAPTURE(it);
            REQUIRE(parseEndpoint(it).has_error());
            CHECK(parseEndpoint(it).error().remedy.find("127.0.0.1:8080") != std::string::npos);
        }
    }
}
