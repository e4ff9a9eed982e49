#include "gateway_fixture.h"

#include "support/instance_listings.h"
#include "support/raw_caller.h"
#include "support/scripted_server.h"

#include <doctest/doctest.h>

#include <deque>

namespace lycheefield {

namespace {

/// A gateway in front of faulty services: for each script one service that is a route's only one and one that is a shard of
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

/// Returns a response of these fields, whole lines, and what ends its head.
std::string responseOf(const std::string& status, const std::string& fields, const std::string& rest = "\r\n")
{
    return "HTTP/1.1 " + status + "\r\n" + fields + rest;
}

/// Returns a success whose body is coded as the Transfer-Encoding field says, or as that and the lines which follow it say.
std::string codedResponse(const std::string& codings)
{
    return responseOf("200 OK", signature + "Transfer-Encoding: " + codings, "\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n");
}

}

TEST_CASE("A status that is none never reaches a caller" * doctest::test_suite("adapter"))
{
    std::vector<std::string> responses;
    for (const std::string status : { "000 None", "001 None", "099 None", "600 Other", "777 Other", "999 Other" }) {
        for (const auto& field : { std::string(), signature, std::string("Lycheefield-Not-Executed: 1\r\n") })
            responses.push_back(responseOf(status, field, someBody));
    }
    checkNeverDelivered(responses);
}

TEST_CASE("An interim response is never the answer" * doctest::test_suite("adapter"))
{
    std::vector<std::string> responses { "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n" };
    for (const std::string status : { "100 Continue", "102 Processing", "103 Early Hints", "199 Interim" }) {
        responses.push_back(responseOf(status, ""));
        responses.push_back(responseOf(status, signature));
        responses.push_back(responseOf(status, signature, someBody));
    }
    checkNeverDelivered(responses);
}

TEST_CASE("The response that follows interim responses is the answer" * doctest::test_suite("adapter"))
{
    const std::string finalResponse = "HTTP/1.1 200 OK\r\n" + signature + someBody;
    const std::string continuation = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    BrokenAnswersFixture fixture({ { continuation + finalResponse }, { hints + finalResponse }, { continuation + hints + hints + finalResponse } });
    for (const std::string number : { "0", "1", "2" }) {
        CAPTURE(number);
        const auto single = fixture.bytesFor("/l/" + number + "/1");
        CHECK(single.starts_with("HTTP/1.1 200 OK\r\nLycheefield-Response-Stamp: s\r\n"));
        CHECK(single.ends_with("\r\n\r\n0123456789abcdef"));
        CHECK(single.find("Link") == std::string::npos);
        const auto search = fixture.bytesFor("/s/" + number + "/1");
        CHECK(search.starts_with("HTTP/1.1 200 OK\r\n"));
        CHECK(search.find("Lycheefield-Part-Stamps: s, stamp-i-2\r\n") != std::string::npos);
        // One server of each service has answered, on a connection that carries on.
        const auto first = static_cast<std::size_t>(std::stoi(number)) * 4;
        CHECK(fixture.servers[first].requests() + fixture.servers[first + 1].requests() == 1);
        CHECK(fixture.servers[first].closedByPeer() + fixture.servers[first + 1].closedByPeer() == 0);
    }
}

TEST_CASE("Interim responses without end never reach a caller" * doctest::test_suite("adapter"))
{
    const std::string continuation = "HTTP/1.1 100 Continue\r\n\r\n";
    BrokenAnswersFixture fixture({ { continuation, continuation } });
    CHECK(fixture.bytesFor("/l/0/1").starts_with("HTTP/1.1 502 Bad Gateway\r\n"));
    fixture.runUntil([&] { return fixture.servers[0].closedByPeer() + fixture.servers[1].closedByPeer() == 2; });
    CHECK(fixture.servers[0].requests() + fixture.servers[1].requests() == 2);
}

TEST_CASE("A body in a coding that was not asked for never reaches a caller" * doctest::test_suite("adapter"))
{
    std::vector<std::string> responses;
    for (const std::string codings : { "gzip", "xchunked", "identity", "chunked, gzip", "gzip, chunked", "gzip\r\nTransfer-Encoding: chunked" })
        responses.push_back(codedResponse(codings));
    responses.push_back(responseOf("200 OK", signature + "Content-Encoding: gzip\r\n", someBody));
    checkNeverDelivered(responses);
}

// These were refused before; the cases guard that.
TEST_CASE("A head or a trailer that is none never reaches a caller" * doctest::test_suite("adapter"))
{
    const std::string ok = "HTTP/1.1 200 OK\r\n" + signature;
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n";
    const std::vector<std::string> lines { "A b: c", " A: c", "A\tb: c", "A\x01: c", "A\x7f: c", "A\x80: c", ": c", "A", "A(b): c", "Content-Length : 5", "A: c\x01", "A: c\x7f", std::string("A: c\0", 5), "A: b\rX: c" };
    std::vector<std::string> responses;
    for (const auto& it : lines) {
        responses.push_back(responseOf("200 OK", signature, it).append("\r\n").append(someBody));
        responses.push_back(std::string(chunked).append(it).append("\r\n\r\n"));
    }
    responses.push_back("HTTP/1.1 20 OK\r\n" + signature + someBody);
    responses.push_back("HTTP/1.1 2000 OK\r\n" + signature + someBody);
    responses.push_back("HTTP/2.0 200 OK\r\n" + signature + someBody);
    responses.push_back("HTTP/1.1 -20 OK\r\n" + signature + someBody);
    responses.push_back(ok + "Content-Length: -1\r\n\r\n0123456789abcdef");
    responses.push_back(ok + "Content-Length: 16, 17\r\n\r\n0123456789abcdef");
    responses.push_back(ok + "Content-Length: 99999999999\r\n\r\n0123456789abcdef");
    checkNeverDelivered(responses);
}

TEST_CASE("A trailer neither proves anything nor reaches a caller" * doctest::test_suite("adapter"))
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    const std::string chunks = "\r\n10\r\n0123456789abcdef\r\n0\r\n";
    BrokenAnswersFixture fixture({
        { head + signature + chunks + "Lycheefield-Not-Executed: 1\r\nX-Other: 1\r\n\r\n" },
        { head + chunks + signature + "\r\n" },
    });
    const auto received = fixture.bytesFor("/l/0/1");
    CAPTURE(received);
    CHECK(received.starts_with("HTTP/1.1 200 OK\r\nLycheefield-Response-Stamp: s\r\n"));
    CHECK(received.find("Not-Executed") == std::string::npos);
    CHECK(received.find("X-Other") == std::string::npos);
    CHECK(fixture.bytesFor("/l/1/1").starts_with("HTTP/1.1 502 Bad Gateway\r\n"));
}

TEST_CASE("What a delegate's servers send that is no answer is no part of the search that another instance answers" * doctest::test_suite("adapter"))
{
    const std::vector<std::string> responses { responseOf("777 Other", signature, someBody), responseOf("100 Continue", signature), codedResponse("gzip"), responseOf("200 OK", signature, " A: c\r\n" + someBody) };
    GatewayFixture fixture;
    std::deque<ScriptedServer> faulty;
    std::vector<std::pair<std::string, std::string>> entries { { "i-2", fixture.serverY.entry("y") } };
    std::string shards = R"("y")";
    for (const auto& it : responses) {
        faulty.emplace_back(fixture.io, ServerScript { it, "", true });
        const auto service = "x" + std::to_string(faulty.size());
        entries.emplace_back("i-" + service, R"({"service":")" + service + R"(","address":")" + faulty.back().endpoint().toString() + R"(","zone":"b","version":"v1","slots":2,"state":"ready","warmupLeftMs":0,"sequence":1})");
        shards += ",\"" + service + "\"";
    }
    const auto search = R"({"version":3,"routes":[{"name":"s","host":"a.example","pathPrefix":"/s/","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":300,"priority":1,"gather":[)" + shards + R"(],"attempts":2,"topK":2,"minShardRatio":0.2}],"services":[],"limits":{}})";
    for (const auto& [name, entry] : entries)
        fixture.store.put("servers", name, entry);
    fixture.store.put("config", "main", search);
    fixture.startGateway();
    fixture.waitUntilReady();
    auto settings = fixture.settings;
    settings.instance.name = InstanceName("g2");
    settings.instance.zone = ZoneName("b");
    Gateway delegate(settings, { fixture.callers, fixture.servers });
    REQUIRE(delegate.listen());
    const std::vector<Instance> instances { fixture.gateway->self(), delegate.self() };
    ServerChanges servers { true, {}, {} };
    for (const auto& [name, entry] : entries)
        servers.listed.push_back(*decodeServer(ServerName(name), entry));
    boost::asio::post(delegate.executor(), [&] {
        delegate.onRoutes(decodeConfiguration(search).value());
        delegate.onServers(servers);
        delegate.onInstances(latestListing(instances, BootClock().now()));
    });
    std::thread thread([&] { delegate.run(); });
    boost::asio::post(fixture.gateway->executor(), [&] { fixture.gateway->onInstances(latestListing(instances, BootClock().now())); });
    const auto isDelegated = [&] { return delegate.metrics().render().find("lycheefield_relay_calls_taken_total 0\n") == std::string::npos; };
    constexpr int maxTries = 20;
    for (int i = 0; i < maxTries && !isDelegated(); ++i) {
        const auto number = std::to_string(i);
        const auto response = fixture.fetch(fixture.endpoints.callers, requestTo("/s/" + number, "id" + number));
        CHECK(response.status == 200);
        CHECK(response.headers.find("Lycheefield-Part-Stamps") == "stamp-i-2");
        CHECK(response.headers.find("Lycheefield-Missing-Parts") == "4");
        CHECK(response.body == std::string(16, '2'));
    }
    CHECK(isDelegated());
    delegate.stop();
    thread.join();
}

}
