#include "gateway_fixture.h"

#include "support/raw_caller.h"
#include "support/scripted_server.h"

#include <doctest/doctest.h>

#include <deque>

namespace lycheefield {

namespace {

/// A gateway in front of services in trouble: for each script one service that is a route's only one and one that is a shard of
/// a search, beside the sound shard y. Each has two servers, which answer every request with the script.
struct BrokenAnswersFixture : GatewayFixture {
    explicit BrokenAnswersFixture(const std::vector<ServerScript>& scripts)
    {
        settings.forward.retrySlack = 100;
        store.put("servers", "i-2", serverY.entry("y"));
        for (const auto& it : scripts)
            addServices(it);
        store.put("config", "main", R"({"version":3,"routes":[)" + m_routes + R"(],"services":[{"name":"y","maxConns":26})" + m_services + R"(],"limits":{}})");
        startGateway();
        waitUntilReady();
    }

    void addServices(const ServerScript& script)
    {
        const auto number = std::to_string(servers.size() / 4);
        const auto common = R"(","host":"a.example","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":4000,"priority":1,"attempts":2,)";
        m_routes += std::string(m_routes.empty() ? "" : ",") + R"({"name":"l)" + number + common + R"("pathPrefix":"/l/)" + number + R"(/","service":"lookup)" + number + R"("},)"
            + R"({"name":"s)" + number + common + R"("pathPrefix":"/s/)" + number + R"(/","gather":["shard)" + number + R"(","y"],"topK":2,"minShardRatio":1})";
        for (const auto* kind : { "lookup", "shard" }) {
            m_services += R"(,{"name":")" + std::string(kind) + number + R"(","maxConns":26})";
            addServer(kind + number, script);
            addServer(kind + number, script);
        }
    }

    void addServer(const std::string& service, const ServerScript& script)
    {
        const auto name = "i-broken-" + std::to_string(servers.size());
        servers.emplace_back(io, script);
        store.put("servers", name, R"({"service":")" + service + R"(","address":")" + servers.back().endpoint().toString() + R"(","zone":"a","version":"v1","slots":2,"state":"ready","warmupLeftMs":0,"sequence":1})");
    }

    /// Returns all bytes that the caller of a request gets.
    std::string bytesFor(const std::string& path)
    {
        RawCaller caller(io, endpoints.callers);
        caller.send("GET " + path + " HTTP/1.1\r\nHost: a.example\r\nLycheefield-Attempt-Id: id\r\nLycheefield-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n");
        runUntil([&] { return caller.isClosed(); });
        return caller.received();
    }

    std::deque<ScriptedServer> servers;

private:
    std::string m_routes;
    std::string m_services;
};

/// Checks that callers get an error of the gateway in place of the servers' bytes, both alone and as a part of a search.
void checkNeverDelivered(const std::vector<std::string>& responses)
{
    std::vector<ServerScript> scripts;
    for (const auto& it : responses)
        scripts.push_back({ it, "", true });
    BrokenAnswersFixture fixture(scripts);
    for (std::size_t i = 0; i < responses.size(); ++i) {
        CAPTURE(responses[i]);
        for (const std::string path : { "/l/", "/s/" }) {
            const auto received = fixture.bytesFor(path + std::to_string(i) + "/1");
            CAPTURE(received);
            CHECK(received.starts_with("HTTP/1.1 502 Bad Gateway\r\n"));
            CHECK(received.find("Stamp") == std::string::npos);
        }
    }
    // The routes allow two attempts, so each server got one request.
    for (const auto& it : fixture.servers)
        CHECK(it.requests() == 1);
}

const std::string signature = "Lycheefield-Response-Stamp: s\r\n";
const std::string someBody = "Content-Length: 16\r\n\r\n0123456789abcdef";

}

TEST_CASE("A status that is none never reaches a caller" * doctest::test_suite("adapter"))
{
    std::vector<std::string> responses;
    for (const std::string status : { "000", "001", "099", "600", "777", "999" }) {
        for (const auto& field : { std::string(), signature, std::string("Lycheefield-Not-Executed: 1\r\n") })
            responses.push_back("HTTP/1.1 " + status + " Trouble\r\n" + field + someBody);
    }
    checkNeverDelivered(responses);
}

}
