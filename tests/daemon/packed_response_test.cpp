#include "daemon/packed_response.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("A status that is none never reaches a caller in the packed response of another instance" * doctest::test_suite("daemon"))
{
    for (const std::string status : { "000", "0", "1", "20", "099", "100", "101", "199", "600", "999", "1200", "00200", "0200", "4294967295", "4294967496", "-200", "+200", " 200", "2e2", "200x", "" }) {
        for (const std::string& payload : { status + " text", status + " {\"a\":1}", status + " " }) {
            CAPTURE(payload);
            const auto response = unpackResponse(payload);
            CHECK(response.status == 502);
            CHECK(response.contentType == "text/plain");
            CHECK(response.body == "the instance that took this request gave no answer that can be read\n");
        }
    }
    for (const std::string payload : { "", "200", "20", "text" }) {
        CAPTURE(payload);
        CHECK(unpackResponse(payload).status == 502);
    }
}

TEST_CASE("A response that is packed for another instance is unpacked with its status and body" * doctest::test_suite("daemon"))
{
    for (const unsigned status : { 200, 202, 404, 502, 599 }) {
        for (const std::string body : { "", "not in flight\n", " 404 x" }) {
            CAPTURE(status);
            CAPTURE(body);
            CHECK(unpackResponse(packResponse({ status, "text/plain", body })) == HttpResponse { status, "text/plain", body });
        }
        CHECK(unpackResponse(packResponse({ status, "application/json", "{}" })) == HttpResponse { status, "application/json", "{}" });
    }
}

}
