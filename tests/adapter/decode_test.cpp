#include "decode.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

const std::string server = R"({"service":"quotes","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":2,"state":"ready","warmupLeftMs":1500,"sequence":4,"born":1700000000000})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

TEST_CASE("decodeServer decodes an entry of the published format" * doctest::test_suite("adapter"))
{
    const ServerName name("i-1");
    const auto entry = decodeServer(name, server);
    REQUIRE(entry);
    CHECK(entry->name == name);
    CHECK(entry->service == ServiceName("quotes"));
    CHECK(entry->endpoint == Endpoint { "10.0.0.9", 8080 });
    CHECK(entry->zone == ZoneName("a"));
    CHECK(entry->slots == 2);
    CHECK_FALSE(entry->isDraining);
    CHECK(entry->warmupLeft == Duration(std::chrono::milliseconds(1500)));
    CHECK(entry->startedAt == 1700000000000);
    CHECK(entry->sequence == 4);

    SUBCASE("a server in state \"draining\" is marked as draining")
    {
        CHECK(decodeServer(name, replaced(server, "\"ready\"", "\"draining\""))->isDraining);
    }
    SUBCASE("an entry with a missing, malformed or mistyped field gives no server")
    {
        for (const auto& text : { replaced(server, "\"slots\":2", "\"slots\":\"2\""), replaced(server, "\"service\":\"quotes\",", ""),
                 replaced(server, "\"ready\"", "\"resting\""), replaced(server, "10.0.0.9:8080", "host:8080"), replaced(server, "10.0.0.9:8080", "10.0.0.9:65536"), replaced(server, "10.0.0.9:8080", "10.0.0.9:0"),
                 replaced(server, "\"slots\":2", "\"slots\":4294967296"), replaced(server, "\"slots\":2", "\"slots\":1e300"), replaced(server, "\"slots\":2", "\"slots\":1e99999999999"),
                 replaced(server, "1500", "1e300"), replaced(server, "1700000000000", "18446744073709551615"), replaced(server, "\"slots\":2", "\"slots\":" + std::string(200, '[') + std::string(200, ']')),
                 replaced(server, "\"sequence\":4", "\"sequence\":-4"),
                 replaced(server, "1700000000000", "17.5"), std::string("\"text\""), std::string("{"), std::string(), std::string("\xff\xfe") }) {
            CAPTURE(text);
            CHECK_FALSE(decodeServer(name, text));
        }
    }
}

TEST_CASE("decodeConfiguration decodes the routes, services and limits of a configuration" * doctest::test_suite("adapter"))
{
    const std::string text = R"({"version":7,"routes":[
        {"name":"r1","host":"a.example","pathPrefix":"/s/","routeType":"idempotent","timeoutMs":3000,"targetLatencyMs":200,"priority":1,"gather":["x","y"],"attempts":2,"topK":50,"minShardRatio":0.5},
        {"name":"r2","host":"a.example","pathPrefix":"/o/","routeType":"non_idempotent","timeoutMs":8000,"targetLatencyMs":500.5,"priority":2,"service":"z","attempts":1},
        {"name":"r3","host":"a.example","pathPrefix":"/w/","routeType":"idempotent","timeoutMs":8000,"priority":2,"trafficSplit":[{"service":"x","weight":3},{"service":"z","weight":0}]}],
        "services":[{"name":"x","healthPath":"/health","maxConns":26}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"unknown":[1]})";
    const auto decoded = decodeConfiguration(text);
    REQUIRE(decoded);
    const auto& table = decoded.value();
    CHECK(table.version == 7);
    REQUIRE(table.routes.size() == 3);
    CHECK(table.routes[0].isSearch());
    CHECK(table.routes[0].isIdempotent);
    CHECK(table.routes[0].topRecords == 50);
    CHECK(table.routes[0].minimumShards() == 1);
    CHECK(table.routes[0].maxRuns == 2);
    CHECK_FALSE(table.routes[1].isIdempotent);
    CHECK(table.routes[1].targetLatency == Duration(500500));
    CHECK(table.routes[1].targets == std::vector<WeightedService> { { ServiceName("z"), 1 } });
    CHECK(table.routes[2].targets == std::vector<WeightedService> { { ServiceName("x"), 3 } });
    CHECK(table.routes[2].targetLatency == table.routes[2].timeout);
    CHECK(table.services.at(ServiceName("x")).maxConnections == 26);
    CHECK(table.callerLimits.maxBodyBytes == 262144);
    CHECK(table.callerLimits.idleTimeout == Duration(std::chrono::seconds(15)));

    SUBCASE("a malformed configuration gives an error with a remedy and no partial table")
    {
        for (const auto& bad : { std::string("[]"), std::string("{\"version\":1}"), replaced(text, "\"pathPrefix\":\"/o/\",", ""), replaced(text, "[\"x\",\"y\"]", "[]") }) {
            const auto result = decodeConfiguration(bad);
            REQUIRE_FALSE(result);
            CHECK_FALSE(result.error().remedy.empty());
        }
    }
}

TEST_CASE("An instance's object declares the roles of its process" * doctest::test_suite("adapter"))
{
    const RoleDeclaration declared { { { TeamName("a"), QuotaRole::Keeper }, { TeamName("b"), QuotaRole::Keeper }, { TeamName("a"), QuotaRole::Standby } }, true, true };
    CHECK(decodeDeclaration(encodeInstance({}, 1, declared)) == declared);
    CHECK(decodeDeclaration(encodeInstance({}, 1, {})) == RoleDeclaration());

    SUBCASE("an object of an earlier release, or one that can't be read, declares nothing, which is not the same as no role")
    {
        for (const auto* text : { "", "[1]", "{}", R"({"life":"1","refreshes":1})", R"({"keeps":["a"]})", R"({"keeps":["a"],"standsBy":[1]})" })
            CHECK_FALSE(decodeDeclaration(text));
    }
}

TEST_CASE("The refreshes of an instance's object are 0 when it doesn't tell them" * doctest::test_suite("adapter"))
{
    CHECK(decodeRefreshes(encodeInstance({}, 7, {})) == 7);
    for (const auto* text : { "", "[1]", "{}", R"({"refreshes":-1})", R"({"refreshes":"7"})", R"({"refreshes":99999999999999999999})" })
        CHECK(decodeRefreshes(text) == 0);
}

}
