#include "decode.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

std::string configurationWith(const std::string& members)
{
    return R"({"version":1,"routes":[
        {"name":"r1","host":"a","pathPrefix":"/","routeType":"idempotent","timeoutMs":9,"service":"x"},
        {"name":"r2","host":"b","pathPrefix":"/","routeType":"idempotent","timeoutMs":9,"service":"x","public":true}])"
        + members + "}";
}

}

TEST_CASE("decodeConfiguration decodes the teams of a configuration" * doctest::test_suite("adapter"))
{
    const auto decoded = decodeConfiguration(configurationWith(R"(,"tenants":[
        {"name":"desk","apiKeys":["k1","k2"],"priority":2,"ratePerS":12.5,"burst":0.5},{"name":"vans","apiKeys":["k3"]},{"name":"idle"}],
        "services":[{"name":"x","maxConns":4,"warmupPerS":7.5},{"name":"y"},{"name":"z","warmupPerS":-1}])"));
    REQUIRE(decoded);
    const auto& table = decoded.value();
    REQUIRE(table.teams);
    CHECK(*table.teams->findByKey("k2") == Team { TeamName("desk"), 2, 12.5, 0.5 });
    CHECK(*table.teams->findByKey("k3") == Team { TeamName("vans"), 0, 0, 0 });
    CHECK(table.teams->teams().size() == 3);
    CHECK_FALSE(table.routes[0].isPublic);
    CHECK(table.routes[1].isPublic);
    CHECK(table.services.at(ServiceName("x")) == ServicePolicy { 4, 7.5 });
    CHECK(table.services.at(ServiceName("y")).warmupRate == 0);
    CHECK(table.services.at(ServiceName("z")).warmupRate == 0);

    SUBCASE("without a list requests need no key; with an empty list no key is valid")
    {
        CHECK_FALSE(decodeConfiguration(configurationWith("")).value().teams);
        const auto empty = decodeConfiguration(configurationWith(R"(,"tenants":[])"));
        REQUIRE(empty.value().teams);
        CHECK(empty.value().teams->teams().empty());
    }
    SUBCASE("a configuration with unreadable teams gives an error that names the fault and no key")
    {
        for (const auto* bad : { R"(,"tenants":{})", R"(,"tenants":null)", R"(,"tenants":"x")", R"(,"tenants":[7])", R"(,"tenants":[{"apiKeys":["secret"]}])", R"(,"tenants":[{"name":"","apiKeys":["secret"]}])",
                 R"(,"tenants":[{"name":"a\nb"}])", R"(,"tenants":[{"name":7}])", R"(,"tenants":[{"name":"a","apiKeys":["secret"],"ratePerS":-1}])", R"(,"tenants":[{"name":"a","ratePerS":1e999}])",
                 R"(,"tenants":[{"name":"a","ratePerS":"5"}])", R"(,"tenants":[{"name":"a","burst":-0.5}])", R"(,"tenants":[{"name":"a","apiKeys":"secret"}])", R"(,"tenants":[{"name":"a","apiKeys":[7,"secret"]}])" }) {
            CAPTURE(bad);
            const auto malformed = decodeConfiguration(configurationWith(bad));
            REQUIRE_FALSE(malformed);
            CHECK_FALSE(malformed.error().message.empty());
            CHECK(malformed.error().message.find("secret") == std::string::npos);
        }
    }
}

}
