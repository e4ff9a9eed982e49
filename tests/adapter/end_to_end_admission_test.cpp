#include "gateway_fixture.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("A gateway follows the drains of zones in the store" * doctest::test_suite("adapter"))
{
    GatewayFixture fixture;
    fixture.settings.gateway.zoneDrainLimit = 200ms;
    fixture.store.put("config", "main", configuration);
    fixture.store.put("servers", "i-1", fixture.serverX.entry("x"));
    const auto lookup = requestTo("/l/1", "id1");

    SUBCASE("A drain that begins and ends while it runs, beside that of another zone")
    {
        fixture.store.put("evacuations", "b", "{}");
        fixture.startGateway();
        fixture.waitUntilReady();
        CHECK(fixture.fetch(fixture.endpoints.callers, lookup).status == 200);
        fixture.store.put("evacuations", "a", "{}");
        fixture.fetchUntil(503, fixture.endpoints.callers, lookup);
        CHECK(fixture.gateway->metrics().render().find("lycheefield_drained_zones 2\n") != std::string::npos);
        const auto requests = fixture.serverX.requests.size();
        const auto refusal = fixture.fetch(fixture.endpoints.callers, lookup);
        CHECK(refusal.status == 503);
        CHECK_FALSE(refusal.headers.find("Retry-After").empty());
        CHECK(fixture.serverX.requests.size() == requests);
        fixture.store.remove("evacuations", "a");
        fixture.fetchUntil(200, fixture.endpoints.callers, lookup);
    }
    SUBCASE("A drain that began before it started: no request reaches the zone")
    {
        fixture.store.put("evacuations", "a", "{}");
        fixture.startGateway();
        fixture.waitUntilReady();
        for (int i = 0; i < 20; ++i)
            CHECK(fixture.fetch(fixture.endpoints.callers, lookup).status == 503);
        CHECK(fixture.serverX.requests.empty());
    }
    SUBCASE("Without a limit in the settings drains are not followed, and the store gets no call for them")
    {
        fixture.settings.gateway.zoneDrainLimit = {};
        fixture.store.put("evacuations", "a", "{}");
        fixture.startGateway();
        fixture.waitUntilReady();
        CHECK(fixture.fetch(fixture.endpoints.callers, lookup).status == 200);
        CHECK(fixture.gateway->metrics().render().find("evacuations") == std::string::npos);
    }
}

TEST_CASE("A gateway with teams admits callers by their keys and tells servers the team, never the key" * doctest::test_suite("adapter"))
{
    GatewayFixture fixture;
    fixture.store.put("servers", "i-1", fixture.serverX.entry("x"));
    fixture.store.put("servers", "i-2", fixture.serverY.entry("y"));
    const auto withTeams = [](std::uint64_t version, const std::string& teams) {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[
            {"name":"s","host":"a.example","pathPrefix":"/s/","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":4000,"gather":["x","y"],"topK":2},
            {"name":"p","host":"a.example","pathPrefix":"/p/","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":4000,"service":"x","public":true}],"tenants":)"
            + teams + "}";
    };
    const auto keyed = [](const std::string& path, const std::string& id, const std::string& key) {
        auto request = requestTo(path, id);
        request.headers.add("Authorization", "Bearer " + key);
        request.headers.add("Lycheefield-Tenant", "pretended");
        return request;
    };
    fixture.store.put("config", "main", withTeams(1, R"([{"name":"desk","apiKeys":["key-1"],"priority":1}])"));
    fixture.startGateway();
    fixture.waitUntilReady();

    SUBCASE("every shard's server is told the team and not the key")
    {
        CHECK(fixture.fetch(fixture.endpoints.callers, keyed("/s/1", "id1", "key-1")).status == 200);
        for (auto* server : { &fixture.serverX, &fixture.serverY }) {
            REQUIRE(server->requests.size() == 1);
            CHECK(server->requests[0].headers.count("Lycheefield-Tenant") == 1);
            CHECK(server->requests[0].headers.find("Lycheefield-Tenant") == "desk");
            CHECK(server->requests[0].headers.count("Authorization") == 0);
        }
    }
    SUBCASE("a caller without a valid key gets 401 and reaches no server")
    {
        CHECK(fixture.fetch(fixture.endpoints.callers, keyed("/s/1", "id2", "key-2")).status == 401);
        CHECK(fixture.fetch(fixture.endpoints.callers, requestTo("/s/1", "id3")).status == 401);
        CHECK(fixture.serverX.requests.empty());
        CHECK(fixture.gateway->metrics().render().find("lycheefield_requests_without_valid_key_total 2\n") != std::string::npos);
    }
    SUBCASE("a public route needs no key, and its servers get neither a key nor a team")
    {
        CHECK(fixture.fetch(fixture.endpoints.callers, keyed("/p/1", "id4", "key-1")).status == 200);
        CHECK(fixture.fetch(fixture.endpoints.callers, requestTo("/p/1", "id5")).status == 200);
        for (const auto& request : fixture.serverX.requests) {
            CHECK(request.headers.count("Lycheefield-Tenant") == 0);
            CHECK(request.headers.count("Authorization") == 0);
        }
    }
    SUBCASE("unreadable teams leave the previous configuration in force; a removed key gets 401 with the next version")
    {
        fixture.store.put("config", "main", withTeams(2, "7"));
        fixture.store.put("config", "main", withTeams(3, R"([{"name":"vans","apiKeys":["key-3"]}])"));
        while (fixture.fetch(fixture.endpoints.callers, keyed("/s/1", "id6", "key-3")).status != 200)
            std::this_thread::sleep_for(10ms);
        CHECK(fixture.fetch(fixture.endpoints.callers, keyed("/s/1", "id7", "key-1")).status == 401);
    }
}

TEST_CASE("A gateway that can't confirm its configuration admits no API key, and says that nothing ran" * doctest::test_suite("adapter"))
{
    GatewayFixture fixture;
    fixture.settings.admission.revocationLimit = 1s;
    fixture.store.put("servers", "i-1", fixture.serverX.entry("x"));
    fixture.store.put("config", "main", R"({"version":1,"tenants":[{"name":"desk","apiKeys":["key-1"]}],"routes":[
        {"name":"o","host":"a.example","pathPrefix":"/o/","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":4000,"service":"x"},
        {"name":"p","host":"a.example","pathPrefix":"/p/","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":4000,"service":"x","public":true}]})");
    fixture.startGateway();
    fixture.waitUntilReady();
    const auto fetchWith = [&](const std::string& key) {
        auto request = requestTo("/o/1", "id1");
        request.headers.add("Authorization", "Bearer " + key);
        return fixture.fetch(fixture.endpoints.callers, request);
    };
    const auto isReady = [&] {
        std::this_thread::sleep_for(10ms);
        return fixture.fetch(fixture.endpoints.readiness, requestTo("/ready", "probe")).status == 200;
    };
    const auto waitUntilAdmitted = [&] {
        while (fetchWith("key-1").status != 200)
            std::this_thread::sleep_for(10ms);
    };
    waitUntilAdmitted();
    fixture.store.setFaults({ .isBusy = true });
    while (isReady()) { }
    const auto arrivals = fixture.serverX.requests.size();
    for (const auto* key : { "key-1", "unknown" }) {
        const auto refused = fetchWith(key);
        CHECK(refused.status == 503);
        CHECK_FALSE(refused.headers.find("Retry-After").empty());
    }
    CHECK(fixture.serverX.requests.size() == arrivals);
    CHECK(fixture.fetch(fixture.endpoints.callers, requestTo("/p/1", "id2")).status == 200);
    fixture.store.setFaults({});
    while (!isReady()) { }
    waitUntilAdmitted();
    CHECK(fixture.gateway->metrics().render().find("lycheefield_configuration_age_seconds") != std::string::npos);
}

}
