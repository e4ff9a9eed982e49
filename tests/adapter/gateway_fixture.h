#pragma once

#include "decode.h"
#include "published_store.h"
#include "quarantine_feed.h"
#include "table_feed.h"
#include "wire_callers.h"
#include "wire_servers.h"

#include "gateway/gateway.h"
#include "http/http_client_connection.h"
#include "standin/published_store.h"

#include <boost/asio/post.hpp>

#include <future>
#include <optional>
#include <stdexcept>
#include <thread>

namespace lycheefield {

using namespace std::chrono_literals;

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
        if (crashes)
            return m_server.close();
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
    bool crashes = false; ///< Instead of responding it closes all connections and accepts no more.
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

    void close() { m_connection->close(); }

    std::optional<HttpResponse> response;
    bool isConnected = false;
    bool isLost = false;

private:
    std::shared_ptr<HttpClientConnection> m_connection;
};

inline HttpRequest requestTo(const std::string& path, const std::string& id, const std::string& deadlineMs = "5000")
{
    return { "GET", path, { { "Host", "a.example" }, { "Lycheefield-Attempt-Id", id }, { "Lycheefield-Deadline-Ms", deadlineMs } }, "" };
}

inline const std::string configuration = R"({"version":3,"routes":[
    {"name":"s","host":"a.example","pathPrefix":"/s/","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":4000,"priority":1,"gather":["x","y"],"attempts":2,"topK":2,"minShardRatio":1},
    {"name":"l","host":"a.example","pathPrefix":"/l/","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":4000,"priority":2,"service":"x","attempts":2},
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
    ~GatewayFixture() { stopGateway(); }
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
        const auto objects = std::make_shared<PublishedStore>(std::make_shared<PlatformClient>(gateway->executor(), client), gateway->metrics());
        feed = std::make_unique<TableFeed>(*gateway, objects, ApplyLimits { 200ms, 200ms, settings.admission.revocationLimit, settings.gateway.zoneDrainLimit });
        quarantines = std::make_unique<QuarantineFeed>(gateway->executor(), objects, [this](const std::vector<CrashNews>& all) { gateway->onQuarantines(all); });
        gateway->setQuarantineStore(*quarantines);
        endpoints = gateway->listen().value();
        feed->start();
        quarantines->start();
        thread = std::thread([this] { gateway->run(); });
    }

    void stopGateway()
    {
        if (!gateway)
            return;
        gateway->stop();
        thread.join();
        quarantines.reset();
        feed.reset();
        gateway.reset();
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
        runUntil([&] { return caller->isConnected || caller->isLost; });
        if (!caller->isConnected)
            throw std::runtime_error("a caller can't connect to the gateway");
        caller->send(request);
        runUntil([&] { return caller->response.has_value() || caller->isLost; });
        if (!caller->response)
            throw std::runtime_error("a caller got no response from the gateway");
        caller->close();
        return std::move(*caller->response);
    }

    /// Repeats the request until the response has the status.
    void fetchUntil(unsigned status, const Endpoint& endpoint, const HttpRequest& request)
    {
        // Each try opens a connection, and the machine's ports are limited.
        constexpr Duration pause = std::chrono::milliseconds(5);
        while (fetch(endpoint, request).status != status) {
            io.restart();
            io.run_for(pause);
        }
    }

    void waitUntilReady() { fetchUntil(200, endpoints.readiness, requestTo("/ready", "probe")); }

    /// Returns the metrics' page, rendered on the gateway's thread.
    std::string metricsPage()
    {
        std::promise<std::string> page;
        boost::asio::post(gateway->executor(), [&] { page.set_value(gateway->metrics().render()); });
        return page.get_future().get();
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
    std::unique_ptr<QuarantineFeed> quarantines;
    GatewayEndpoints endpoints;
    std::thread thread;
};

}
