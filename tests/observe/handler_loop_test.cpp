#include "observe/handler_loop.h"

#include "http/http_server.h"
#include "support/raw_caller.h"

#include <boost/asio/post.hpp>

#include <doctest/doctest.h>

#include <stdexcept>
#include <thread>

using namespace lycheefield;

namespace {

/// Throws an exception for /throw and answers all other targets.
class ThrowingApi final : public HttpHandler {
public:
    void handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        if (request.target == "/throw")
            throw std::runtime_error("on purpose");
        exchange->respond({ 200, "text/plain", "answered" + request.target });
    }
};

}

TEST_SUITE_BEGIN("observe");

TEST_CASE("A handler that throws ends its own request and no other")
{
    boost::asio::io_context io;
    Metrics metrics;
    std::atomic<int> reports { 0 };
    HandlerLoop loop(io, metrics, [&](std::string_view) { ++reports; });
    const auto& exceptions = metrics.counter("lycheefield_handler_exceptions_total");

    SUBCASE("The loop runs the remaining handlers on every thread")
    {
        std::atomic<int> ran { 0 };
        for (int i = 0; i < 30; ++i) {
            boost::asio::post(io, [&ran, i] {
                ++ran;
                if (i % 3 == 0)
                    throw std::runtime_error("handler " + std::to_string(i));
            });
        }
        std::thread other([&] { loop.run(); });
        loop.run();
        other.join();
        CHECK(ran == 30);
        CHECK(exceptions.value() == 10);
        CHECK(reports == 10);
    }
    SUBCASE("The caller receives status 500 on a connection that stays open, and other callers are unaffected")
    {
        ThrowingApi api;
        HttpServer server(io, api, std::make_shared<SteadyClock>(), std::make_shared<HttpServerCounters>(), HttpLimits());
        const auto endpoint = server.listen({ "127.0.0.1", 0 }).value();
        RawCaller victim(io, endpoint);
        RawCaller other(io, endpoint);
        const auto stopWhen = [&](auto condition) {
            while (!condition()) {
                boost::asio::post(io, [&io] { io.stop(); });
                loop.run();
                io.restart();
            }
        };
        victim.send("GET /throw HTTP/1.1\r\nHost: a\r\n\r\nGET /pipelined HTTP/1.1\r\nHost: a\r\n\r\n");
        other.send("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
        stopWhen([&] { return victim.count("answered/pipelined") == 1 && other.count("answered/other") == 1; });
        CHECK(victim.count("HTTP/1.1 500") == 1);
        victim.send("GET /again HTTP/1.1\r\nHost: a\r\n\r\n");
        stopWhen([&] { return victim.count("answered/again") == 1; });
        CHECK(other.count("HTTP/1.1 200") == 1);
        CHECK(exceptions.value() == 1);
        CHECK(metrics.render().find("lycheefield_handler_exceptions_total 1\n") != std::string::npos);
    }
}

TEST_SUITE_END();
