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

/// A backend server by its published protocol, as far as the whole path needs it.
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
        HttpResponse reply { 200, "", std::string(16, m_name.back()) };
        reply.headers.add("Lycheefield-Response-Stamp", "stamp-" + m_name);
        reply.headers.add("Lycheefield-Attempt-Id", std::string(request.headers.find("Lycheefield-Attempt-Id")));
        if (isHolding)
            held.emplace_back(std::move(exchange), std::move(reply));
        else
            exchange->respond(std::move(reply));
    }

    std::string entry(const std::string& service) const
    {
        return R"({"service":")" + service + R"(","address":")" + m_endpoint.toString()
            + R"(","zone":"a","version":"v1","slots":2,"state":"ready","warmupLeftMs":0,"sequence":1})";
    }

    std::vector<HttpRequest> requests;
    std::vector<std::pair<std::shared_ptr<HttpExchange>, HttpResponse>> held;
    bool isHolding = false; ///< Requests wait in `held`.

private:
    std::string m_name;
    HttpServer m_server;
    Endpoint m_endpoint;
};

/// Sends requests one after the other on one connection.
class Caller final : public HttpClientEvents, public std::enable_shared_from_this<Caller> {
public:
    void open(boost::asio::io_context& io, const Endpoint& endpoint) { m_connection = openHttpConnection(boost::asio::make_strand(io), endpoint, weak_from_this(), 2s); }
    void onConnected() override { isConnected = true; }
    void onResponse(HttpResponse it) override { reply = std::move(it); }
    void onLost(bool, const std::string&) override { isLost = true; }
    void send(const HttpRequest& request)
    {
        reply.reset();
        m_connection->send(request);
    }

    std::optional<HttpResponse> reply;
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

/// A store, two backend servers and a gateway in a thread of its own.
struct WholePath {
    WholePath()
        : store(io)
        , one(io, "i-1")
        , two(io, "i-2")
    {
        settings.instance.name = InstanceName("g1");
        settings.instance.zone = ZoneName("a");
        settings.gateway.callers = { "127.0.0.1", 0 };
        settings.gateway.readiness = { "127.0.0.1", 0 };
        settings.gateway.store = store.listen().value();
        settings.drain.balancerLag = 1ms;
    }
    ~WholePath()
    {
        if (!gateway)
            return;
        gateway->stop();
        thread.join();
    }
    WholePath(const WholePath&) = delete;
    WholePath& operator=(const WholePath&) = delete;

    void startGateway()
    {
        gateway = std::make_unique<Gateway>(settings, GatewayProtocols { callers, servers });
        PlatformClientSettings client;
        client.endpoint = settings.gateway.store;
        client.watchTimeout = 50ms;
        client.connectTimeout = 5s;
        client.callTimeout = 5s;
        feed = std::make_unique<TableFeed>(*gateway, std::make_shared<PublishedStore>(std::make_shared<PlatformClient>(gateway->executor(), client)), ApplyLimits { 200ms, 200ms });
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

    HttpResponse ask(const Endpoint& endpoint, const HttpRequest& request)
    {
        const auto caller = std::make_shared<Caller>();
        caller->open(io, endpoint);
        runUntil([&] { return caller->isConnected; });
        caller->send(request);
        runUntil([&] { return caller->reply.has_value() || caller->isLost; });
        return caller->reply.value();
    }

    void waitUntilReady()
    {
        while (ask(endpoints.readiness, requestTo("/ready", "probe")).status != 200) { }
    }

    boost::asio::io_context io { 1 };
    standin::PublishedStoreServer store;
    FakeBackend one;
    FakeBackend two;
    WireCallers callers;
    WireServers servers;
    Settings settings;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<TableFeed> feed;
    GatewayEndpoints endpoints;
    std::thread thread;
};

}

TEST_CASE("the whole path of a gateway" * doctest::test_suite("adapter"))
{
    WholePath path;
    path.store.put("servers", "i-1", path.one.entry("x"));
    path.store.put("servers", "i-2", path.two.entry("y"));
    path.store.put("servers", "stranger", "{\"service\":7}");

    SUBCASE("without a configuration it is not ready, and tells callers to come back")
    {
        path.startGateway();
        CHECK(path.ask(path.endpoints.readiness, requestTo("/ready", "probe")).status == 503);
        const auto reply = path.ask(path.endpoints.callers, requestTo("/s/1", "id1"));
        CHECK(reply.status == 503);
        CHECK_FALSE(reply.headers.find("Retry-After").empty());
    }
    SUBCASE("with a configuration and servers")
    {
        path.store.put("config", "main", configuration);
        path.startGateway();
        path.waitUntilReady();

        SUBCASE("a search is asked of every shard and merged")
        {
            const auto reply = path.ask(path.endpoints.callers, requestTo("/s/1?q=2", "id1"));
            CHECK(reply.status == 200);
            CHECK(reply.body == std::string(16, '2') + std::string(16, '1'));
            CHECK(reply.headers.find("Lycheefield-Part-Stamps") == "stamp-i-1, stamp-i-2");
            CHECK(reply.headers.find("Lycheefield-Missing-Parts") == "0");
            REQUIRE(path.one.requests.size() == 1);
            CHECK(path.one.requests[0].target == "/s/1?q=2");
            CHECK(path.one.requests[0].headers.find("Host") == "a.example");
            CHECK(path.one.requests[0].headers.find("Lycheefield-Attempt-Id") == "id1");
        }
        SUBCASE("an order goes to one server, with method and body unchanged")
        {
            auto order = requestTo("/o/1", "id2");
            order.method = "POST";
            order.body = "two tiles";
            const auto reply = path.ask(path.endpoints.callers, order);
            CHECK(reply.status == 200);
            CHECK(reply.headers.find("Lycheefield-Response-Stamp") == "stamp-i-1");
            REQUIRE(path.one.requests.size() == 1);
            CHECK(path.one.requests[0].method == "POST");
            CHECK(path.one.requests[0].body == "two tiles");
            CHECK(path.two.requests.empty());
        }
        SUBCASE("what no route allows is told so, and reaches nobody")
        {
            CHECK(path.ask(path.endpoints.callers, requestTo("/none/1", "id3")).status == 404);
            CHECK(path.one.requests.empty());
        }
        SUBCASE("a route that was dropped is refused once the next version is in force")
        {
            path.store.put("config", "main", "{\"version\":4,\"routes\":[]}");
            while (path.ask(path.endpoints.callers, requestTo("/s/1", "id4")).status != 404) { }
            path.store.put("config", "main", configuration);
            path.store.put("config", "main", "{\"version\":5,\"routes\":[]}");
            CHECK(path.ask(path.endpoints.callers, requestTo("/s/1", "id5")).status == 404);
        }
        SUBCASE("a stop answers what it has read, and closes the connection after it")
        {
            path.one.isHolding = true;
            const auto caller = std::make_shared<Caller>();
            caller->open(path.io, path.endpoints.callers);
            path.runUntil([&] { return caller->isConnected; });
            caller->send(requestTo("/o/1", "id6"));
            path.runUntil([&] { return !path.one.held.empty(); });
            path.gateway->stop();
            while (path.ask(path.endpoints.readiness, requestTo("/ready", "probe")).status == 200) { }
            path.one.held.front().first->respond(path.one.held.front().second);
            path.runUntil([&] { return caller->reply.has_value() || caller->isLost; });
            REQUIRE(caller->reply);
            CHECK(caller->reply->status == 200);
            CHECK(caller->reply->headers.find("Connection") == "close");
        }
    }
}

}
