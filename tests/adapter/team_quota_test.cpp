#include "decode.h"
#include "wire_callers.h"
#include "wire_servers.h"

#include "admission/quota_ranking.h"
#include "base/clock.h"
#include "gateway/gateway.h"
#include "support/instance_listings.h"
#include "support/raw_caller.h"

#include <boost/asio/post.hpp>

#include <doctest/doctest.h>

#include <array>
#include <thread>

namespace lycheefield {

namespace {

const TeamName team("desk");

/// Two gateways without backend servers, so that a request that is admitted gets 503.
struct TwoGateways {
    explicit TwoGateways(const std::string& quota)
    {
        // Without tolerance and slack, permits come from the keeper only.
        settings.admission.quotaTolerance = Share { 0 };
        settings.admission.quotaSlack = 0;
        settings.gateway.callers = { "127.0.0.1", 0 };
        settings.gateway.readiness = { "127.0.0.1", 0 };
        settings.instance.zone = ZoneName("a");
        settings.drain.balancerLag = std::chrono::milliseconds(1);
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            settings.instance.name = InstanceName("g" + std::to_string(i));
            gateways[i] = std::make_unique<Gateway>(settings, GatewayProtocols { callers, servers });
            endpoints[i] = gateways[i]->listen().value();
        }
        const std::vector<Instance> instances { gateways[0]->self(), gateways[1]->self() };
        QuotaRanking ranking;
        ranking.setTeams({ team });
        ranking.setInstances(instances);
        keeper = ranking.rankOf(team, instances[0].name);
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            boost::asio::post(gateways[i]->executor(), [this, i, instances, quota] {
                gateways[i]->onRoutes(decodeConfiguration(R"({"version":1,"routes":[{"name":"l","host":"a.example","pathPrefix":"/","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":4000,"service":"x"}],
                    "tenants":[{"name":"desk","apiKeys":["key-1"],)"
                    + quota + R"(},{"name":"free","apiKeys":["key-2"]}]})")
                                          .value());
                gateways[i]->onServers({ true, {}, {} });
                auto listing = latestListing(instances, BootClock().now());
                listing.declared[instances[keeper].name].roles = { { team, QuotaRole::Keeper } };
                listing.declared[instances[1 - keeper].name].roles = { { team, QuotaRole::Standby } };
                gateways[i]->onInstances(listing);
            });
            threads[i] = std::thread([this, i] { gateways[i]->run(); });
        }
    }
    ~TwoGateways()
    {
        for (const auto& it : gateways)
            it->stop();
        for (auto& it : threads)
            it.join();
    }
    TwoGateways(const TwoGateways&) = delete;
    TwoGateways& operator=(const TwoGateways&) = delete;

    std::string fetch(std::size_t gateway, const std::string& key)
    {
        io.restart();
        RawCaller caller(io, endpoints[gateway].callers);
        caller.send("GET /1 HTTP/1.1\r\nHost: a.example\r\nLycheefield-Attempt-Id: id1\r\nLycheefield-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key + "\r\nConnection: close\r\n\r\n");
        runUntil(io, [&] { return caller.isClosed(); });
        return caller.received();
    }
    /// The response to a request that comes once an instance grants the team's quota.
    std::string fetchWhenGranted(std::size_t gateway, const std::string& key)
    {
        while (true) {
            auto response = fetch(gateway, key);
            if (response.find("no instance grants") == std::string::npos)
                return response;
            ++refusedBefore[gateway];
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    bool isRefused(std::size_t gateway, const std::string& key)
    {
        const auto response = fetch(gateway, key);
        return response.starts_with("HTTP/1.1 429") || response.find("no instance grants") != std::string::npos;
    }
    bool isMetric(std::size_t gateway, const std::string& line) { return gateways[gateway]->metrics().render().find(line + "\n") != std::string::npos; }

    boost::asio::io_context io { 1 };
    WireCallers callers;
    WireServers servers;
    Settings settings;
    std::array<std::unique_ptr<Gateway>, 2> gateways;
    std::array<GatewayEndpoints, 2> endpoints;
    std::array<std::thread, 2> threads;
    std::size_t keeper = 0;
    std::array<int, 2> refusedBefore {}; ///< Requests that came before the quota was granted.
};

}

TEST_CASE("Gateways admit a team's requests within its quota only, whichever of them they come to" * doctest::test_suite("adapter"))
{
    SUBCASE("permits of the keeper admit requests at the other gateway")
    {
        TwoGateways fleet(R"("ratePerS":1000,"burst":1000)");
        const auto isAdmittedSoon = [&](std::size_t gateway) {
            constexpr int maxTries = 2000;
            for (int i = 0; i < maxTries; ++i) {
                if (!fleet.isRefused(gateway, "key-1"))
                    return true;
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            return false;
        };
        REQUIRE(isAdmittedSoon(fleet.keeper));
        REQUIRE(isAdmittedSoon(1 - fleet.keeper));
        CHECK_FALSE(fleet.isMetric(1 - fleet.keeper, "lycheefield_quota_admitted_total 0"));
        CHECK_FALSE(fleet.isMetric(1 - fleet.keeper, "lycheefield_quota_asked_total 0"));
    }
    SUBCASE("an exhausted quota gives 429 with the time of the next credit at both; other teams aren't concerned")
    {
        TwoGateways fleet(R"("ratePerS":0.001,"burst":1)");
        for (std::size_t i = 0; i < 2; ++i) {
            const auto response = fleet.fetchWhenGranted(i, "key-1");
            CHECK(response.starts_with("HTTP/1.1 429"));
            CHECK(response.find("Retry-After: ") != std::string::npos);
            CHECK_FALSE(fleet.isRefused(i, "key-2"));
        }
        CHECK(fleet.isMetric(fleet.keeper, "lycheefield_quota_refused_total " + std::to_string(1 + fleet.refusedBefore[fleet.keeper])));
        CHECK(fleet.isMetric(fleet.keeper, "lycheefield_quota_admitted_total 0"));
    }
}

}
