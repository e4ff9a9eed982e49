#include "gateway_fixture.h"

#include "gateway/descriptor_budget.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("The metrics of a running gateway tell its state, its connections and its descriptors" * doctest::test_suite("adapter"))
{
    GatewayFixture fixture;
    fixture.store.put("servers", "i-1", fixture.serverX.entry("x"));
    fixture.store.put("servers", "i-2", fixture.serverY.entry("y"));
    fixture.store.put("config", "main", configuration);
    fixture.startGateway();
    fixture.waitUntilReady();
    REQUIRE(fixture.fetch(fixture.endpoints.callers, requestTo("/l/1", "r1")).status == 200);
    const auto page = fixture.metricsPage();
    CAPTURE(page);
    const auto budget = DescriptorBudget::ofProcess();
    const auto allowed = [](const std::string& owner, std::uint64_t descriptors) {
        return "lycheefield_descriptors_allowed{owner=\"" + owner + "\"} " + std::to_string(descriptors);
    };
    for (const std::string& line : { std::string("lycheefield_ready 1"), std::string("lycheefield_store_reachable 1"), std::string("lycheefield_configuration_version 3"),
             std::string("lycheefield_servers 2"), std::string("lycheefield_drained_zones 0"), std::string("lycheefield_server_connections 1"),
             std::string("lycheefield_requests_in_flight 0"), std::string("lycheefield_requests_total 1"), std::string("lycheefield_log_lines_left_out_total 0"),
             std::string("lycheefield_http_connections_total 1"), std::string("lycheefield_http_rejected_total{why=\"too many connections\"} 0"),
             allowed("callers", budget.forCallers()), allowed("servers", budget.forServers()) }) {
        CAPTURE(line);
        CHECK(page.find("\n" + line + "\n") != std::string::npos);
    }
    CHECK(page.find("\nlycheefield_descriptor_limit ") != std::string::npos);
    CHECK(page.find("\nlycheefield_descriptors_allowed{owner=\"rest\"} ") != std::string::npos);
}

}
