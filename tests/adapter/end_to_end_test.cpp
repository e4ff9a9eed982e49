#include "published_store.h"
#include "table_feed.h"
#include "wire_callers.h"
#include "wire_servers.h"

#include "gateway/gateway.h"
#include "http/http_client_connection.h"
#include "standin/published_store.h"

#include <doctest/doctest.h>

#include <optional>
#include <thread>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// A backend server with the parts of the published protocol that these tests need.
class FakeBackend final : public HttpHandler {
public:
    FakeBackend(boost::asio::io_context& io, std::string name)
        : m_name(std::move(name))
        , m_server(io, *this, std::make_shared<SteadyClock>(), std::make_shared<HttpServerCounters>())
        , m_endpoint(m_server.listen({ "127.0.0.1", 0 }).value())
    {
    }

    void handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        if (request.headers.find("Lycheefield-Target-Instance") != m_name)
            return exchange->respond({ 421, "", "" });
        requests.push_back(request);
        HttpResponse response { 200, "", std::string(16, m_name.back()) };
        response.headers.add("Lycheefield-Response-Stamp", "stamp-" + m_name);
        response.headers.add("Lycheefield-Attempt-Id", std::string(request.headers.find("Lycheefield-Attempt-Id")));
        if (holdsResponses)
            heldResponses.emplace_back(std::move(exchange), std::move(response));
        else
            exchange->respond(std::move(response));
    }

    std::string entry(const std::string& service) const
    {
        return R"({"service":")" + service + R"(","address":")" + m_endpoint.toString()
            + R"(","zone":"a","version":"v1","slots":2,"state":"ready","warmupLeftMs":0,"sequence":1})";
    }

    std::vector<HttpRequest> requests;
    std::vector<std::pair<std::shared_ptr<HttpExchange>, HttpResponse>> heldResponses;
    bool holdsResponses = false; ///< Responses are kept in `heldResponses` and not sent.

private:
    std::string m_name;
    HttpServer m_server;
    Endpoint m_endpoint;
};

/// A caller that sends one request at a time on one connection.
class Caller final : public HttpClientEvents, public std::enable_shared_from_this<Caller> {
public:
    void open(boost::asio::io_context& io, const Endpoint& endpoint) { m_connection = openHttpConnection(boost::asio::make_strand(io), endpoint, weak_from_this(), 2s); }
    void onConnected() override { isConnected = true; }
    void onResponse(HttpResponse it) override { response = std::move(it); }
    void onLost(bool, const std::string&) override { isLost = true; }
    void send(const HttpRequest& request)
    {
        response.reset();
        m_connection->send(request);
    }

    std::optional<HttpResponse> response;
    bool isConnected = false;
    bool isLost = false;

private:
    std::shared_ptr<HttpClientConnection> m_connection;
};

HttpRequest requestTo(const std::string& path, const std::string& id)
{
    return { "GET", path, { { "Host", "a.example" }, { "Lycheefield-Attempt-Id", id }, { "Lycheefield-Deadline-Ms", "5000" } }, "" };
}

const std::string configuration = R"({"version":3,"routes":[
    {"name":"s","host":"a.example","pathPrefix":"/s/","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":4000,"priority":1,"gather":["x","y"],"attempts":2,"topK":2,"minShardRatio":1},
    {"name":"o","host":"a.example","pathPrefix":"/o/","routeType":"non_idempotent","timeoutMs":5000,"targetLatencyMs":4000,"priority":2,"service":"x","attempts":2}],
    "services":[{"name":"x","maxConns":26},{"name":"y","maxConns":26}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/// A stand-in store, two backend servers, and a gateway that runs on its own thread.
struct GatewayFixture {
    GatewayFixture()
        : store(io)
        , serverX(io, "i-1")
        , serverY(io, "i-2")
    {
        settings.instance.name = InstanceName("g1");
        settings.instance.zone = ZoneName("a");
        settings.gateway.callers = { "127.0.0.1", 0 };
        settings.gateway.readiness = { "127.0.0.1", 0 };
        settings.gateway.store = store.listen().value();
        settings.drain.balancerLag = 1ms;
    }
    ~GatewayFixture()
    {
        if (!gateway)
            return;
        gateway->stop();
        thread.join();
    }
    GatewayFixture(const GatewayFixture&) = delete;
    GatewayFixture& operator=(const GatewayFixture&) = delete;

    void startGateway()
    {
        gateway = std::make_unique<Gateway>(settings, GatewayProtocols { callers, servers });
        PlatformClientSettings client;
        client.endpoint = settings.gateway.store;
        client.watchTimeout = 50ms;
        client.connectTimeout = 5s;
        client.callTimeout = 5s;
        feed = std::make_unique<TableFeed>(*gateway, std::make_shared<PublishedStore>(std::make_shared<PlatformClient>(gateway->executor(), client), gateway->metrics()), ApplyLimits { 200ms, 200ms });
        endpoints = gateway->listen().value();
        feed->start();
        thread = std::thread([this] { gateway->run(); });
    }

    template <typename Reached>
    void runUntil(Reached isReached)
    {
        io.restart();
        while (!isReached() && io.run_one() > 0) { }
    }

    HttpResponse fetch(const Endpoint& endpoint, const HttpRequest& request)
    {
        const auto caller = std::make_shared<Caller>();
        caller->open(io, endpoint);
        runUntil([&] { return caller->isConnected; });
        caller->send(request);
        runUntil([&] { return caller->response.has_value() || caller->isLost; });
        return caller->response.value();
    }

    void waitUntilReady()
    {
        while (fetch(endpoints.readiness, requestTo("/ready", "probe")).status != 200) { }
    }

    boost::asio::io_context io { 1 };
    standin::PublishedStoreServer store;
    FakeBackend serverX;
    FakeBackend serverY;
    WireCallers callers;
    WireServers servers;
    Settings settings;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<TableFeed> feed;
    GatewayEndpoints endpoints;
    std::thread thread;
};

}

TEST_CASE("A gateway forwards callers' requests to backend servers" * doctest::test_suite("adapter"))
{
    GatewayFixture fixture;
    fixture.store.put("servers", "i-1", fixture.serverX.entry("x"));
    fixture.store.put("servers", "i-2", fixture.serverY.entry("y"));
    fixture.store.put("servers", "stranger", "{\"service\":7}");

    SUBCASE("without a configuration the gateway is not ready, and answers callers with 503 and Retry-After")
    {
        fixture.startGateway();
        CHECK(fixture.fetch(fixture.endpoints.readiness, requestTo("/ready", "probe")).status == 503);
        const auto response = fixture.fetch(fixture.endpoints.callers, requestTo("/s/1", "id1"));
        CHECK(response.status == 503);
        CHECK_FALSE(response.headers.find("Retry-After").empty());
    }
    SUBCASE("the gateway becomes ready with a configuration and servers")
    {
        fixture.store.put("config", "main", configuration);
        fixture.startGateway();
        fixture.waitUntilReady();

        SUBCASE("a search is sent to every shard and the results are merged")
        {
            const auto response = fixture.fetch(fixture.endpoints.callers, requestTo("/s/1?q=2", "id1"));
            CHECK(response.status == 200);
            CHECK(response.body == std::string(16, '2') + std::string(16, '1'));
            CHECK(response.headers.find("Lycheefield-Part-Stamps") == "stamp-i-1, stamp-i-2");
            CHECK(response.headers.find("Lycheefield-Missing-Parts") == "0");
            REQUIRE(fixture.serverX.requests.size() == 1);
            CHECK(fixture.serverX.requests[0].target == "/s/1?q=2");
            CHECK(fixture.serverX.requests[0].headers.find("Host") == "a.example");
            CHECK(fixture.serverX.requests[0].headers.find("Lycheefield-Attempt-Id") == "id1");
        }
        SUBCASE("an order is sent to one server, with its method and body unchanged")
        {
            auto order = requestTo("/o/1", "id2");
            order.method = "POST";
            order.body = "two tiles";
            const auto response = fixture.fetch(fixture.endpoints.callers, order);
            CHECK(response.status == 200);
            CHECK(response.headers.find("Lycheefield-Response-Stamp") == "stamp-i-1");
            REQUIRE(fixture.serverX.requests.size() == 1);
            CHECK(fixture.serverX.requests[0].method == "POST");
            CHECK(fixture.serverX.requests[0].body == "two tiles");
            CHECK(fixture.serverY.requests.empty());
        }
        SUBCASE("a request without a route gets 404 and reaches no server")
        {
            CHECK(fixture.fetch(fixture.endpoints.callers, requestTo("/none/1", "id3")).status == 404);
            CHECK(fixture.serverX.requests.empty());
        }
        SUBCASE("a removed route gets 404 once the newer configuration version is in force, and an older version written later does not restore the route")
        {
            fixture.store.put("config", "main", "{\"version\":4,\"routes\":[]}");
            while (fixture.fetch(fixture.endpoints.callers, requestTo("/s/1", "id4")).status != 404) { }
            fixture.store.put("config", "main", configuration);
            fixture.store.put("config", "main", "{\"version\":5,\"routes\":[]}");
            CHECK(fixture.fetch(fixture.endpoints.callers, requestTo("/s/1", "id5")).status == 404);
        }
        SUBCASE("a stopping gateway answers a request that it has read, with \"Connection: close\"")
        {
            fixture.serverX.holdsResponses = true;
            const auto caller = std::make_shared<Caller>();
            caller->open(fixture.io, fixture.endpoints.callers);
            fixture.runUntil([&] { return caller->isConnected; });
            caller->send(requestTo("/o/1", "id6"));
            fixture.runUntil([&] { return !fixture.serverX.heldResponses.empty(); });
            fixture.gateway->stop();
            while (fixture.fetch(fixture.endpoints.readiness, requestTo("/ready", "probe")).status == 200) { }
            fixture.serverX.heldResponses.front().first->respond(fixture.serverX.heldResponses.front().second);
            fixture.runUntil([&] { return caller->response.has_value() || caller->isLost; });
            REQUIRE(caller->response);
            CHECK(caller->response->status == 200);
            CHECK(caller->response->headers.find("Connection") == "close");
        }
    }
}

TEST_CASE("An order that comes too late in a planned stop is refused as not run and reaches no server" * doctest::test_suite("adapter"))
{
    GatewayFixture fixture;
    fixture.settings.gateway.stopLimit = 3s;
    fixture.store.put("servers", "i-1", fixture.serverX.entry("x"));
    fixture.store.put("config", "main", configuration);
    fixture.startGateway();
    fixture.waitUntilReady();
    const auto caller = std::make_shared<Caller>();
    caller->open(fixture.io, fixture.endpoints.callers);
    fixture.runUntil([&] { return caller->isConnected; });
    fixture.gateway->stop();
    caller->send(requestTo("/o/1", "id7"));
    fixture.runUntil([&] { return caller->response.has_value() || caller->isLost; });
    REQUIRE(caller->response);
    CHECK(caller->response->status == 503);
    CHECK(caller->response->headers.find("Connection") == "close");
    CHECK(fixture.serverX.requests.empty());
}

}
