#pragma once

#include "http/http_server.h"
#include "support/raw_caller.h"
#include "support/virtual_clock.h"

#include <doctest/doctest.h>

#include <vector>

namespace lycheefield {

using namespace std::chrono_literals;

inline const std::string goodRequest = "POST /search/quotes HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";

/// Keeps every exchange, so that a test can respond later.
class DeferringHandler final : public HttpHandler {
public:
    void handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        requests.push_back(std::move(request));
        exchanges.push_back(std::move(exchange));
        if (respondsImmediately)
            exchanges.back()->respond({ 200, "text/plain", "you sent " + requests.back().body });
    }

    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    bool respondsImmediately = true;
};

struct ServerFixture {
    ServerFixture()
        : server(io, handler, clock, counters, limits())
        , endpoint(server.listen({ "127.0.0.1", 0 }).value())
    {
    }

    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.maxHeaderBytes = 1024;
        limits.maxBodyBytes = 2000;
        limits.maxPipelinedBytes = 4096;
        limits.maxConnections = 50;
        limits.checkInterval = 1ms;
        return limits;
    }

    /// Caller on another connection whose request is sent before the test's own actions and answered after them.
    struct ConcurrentCaller {
        explicit ConcurrentCaller(ServerFixture& fixture)
            : m_fixture(fixture)
            , m_caller(fixture.io, fixture.endpoint)
        {
            fixture.handler.respondsImmediately = false;
            m_caller.send("GET /bystander HTTP/1.1\r\nHost: a\r\n\r\n");
            runUntil(fixture.io, [&] { return fixture.handler.exchanges.size() == 1; });
            fixture.handler.respondsImmediately = true;
        }

        void checkAnswered()
        {
            m_fixture.handler.exchanges.front()->respond({ 200, "text/plain", "bystander's answer" });
            runUntil(m_fixture.io, [&] { return m_caller.count("bystander's answer") == 1 || m_caller.isClosed(); });
            CHECK(m_caller.count("bystander's answer") == 1);
        }

    private:
        ServerFixture& m_fixture;
        RawCaller m_caller;
    };

    boost::asio::io_context io;
    DeferringHandler handler;
    std::shared_ptr<VirtualClock> clock = std::make_shared<VirtualClock>();
    std::shared_ptr<HttpServerCounters> counters = std::make_shared<HttpServerCounters>();
    HttpServer server;
    Endpoint endpoint;
};

}
