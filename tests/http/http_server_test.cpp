#include "base/random_source.h"
#include "http/http_server.h"
#include "support/raw_caller.h"
#include "support/virtual_clock.h"

#include <doctest/doctest.h>

#include <vector>

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

const std::string goodRequest = "POST /search/quotes HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";

/// Keeps every exchange until the test answers it.
class HeldRequests final : public HttpHandler {
public:
    void handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        requests.push_back(std::move(request));
        exchanges.push_back(std::move(exchange));
        if (answersAtOnce)
            exchanges.back()->respond({ 200, "text/plain", "you sent " + requests.back().body });
    }

    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    bool answersAtOnce = true;
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

    /// A request on a connection of its own, sent before whatever the test does and answered after it.
    struct Bystander {
        explicit Bystander(ServerFixture& fixture)
            : m_fixture(fixture)
            , m_caller(fixture.io, fixture.endpoint)
        {
            fixture.handler.answersAtOnce = false;
            m_caller.send("GET /bystander HTTP/1.1\r\nHost: a\r\n\r\n");
            runUntil(fixture.io, [&] { return fixture.handler.exchanges.size() == 1; });
            fixture.handler.answersAtOnce = true;
        }

        void mustBeAnswered()
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
    HeldRequests handler;
    std::shared_ptr<VirtualClock> clock = std::make_shared<VirtualClock>();
    std::shared_ptr<HttpServerCounters> counters = std::make_shared<HttpServerCounters>();
    HttpServer server;
    Endpoint endpoint;
};

}

TEST_SUITE_BEGIN("http");

TEST_CASE_FIXTURE(ServerFixture, "a connection serves one request after the other")
{
    RawCaller caller(io, endpoint);

    SUBCASE("each sent after the answer to the one before")
    {
        caller.send(goodRequest);
        runUntil(io, [&] { return caller.count("you sent hi") == 1; });
        caller.send(goodRequest);
        runUntil(io, [&] { return caller.count("you sent hi") == 2; });
        CHECK(handler.requests.size() == 2);
        CHECK(handler.requests[0].path() == "/search/quotes");
    }
    SUBCASE("all at once: the answers come in order")
    {
        caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwoGET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
        runUntil(io, [&] { return handler.requests.size() == 3 && caller.count("HTTP/1.1 200") == 3; });
        CHECK(handler.requests[0].target == "/1");
        CHECK(handler.requests[1].body == "two");
        CHECK(handler.requests[2].target == "/3");
        CHECK(caller.received().find("you sent two") > caller.received().find("you sent "));
    }
    SUBCASE("in pieces of one byte")
    {
        for (const char c : goodRequest) {
            caller.send({ &c, 1 });
            io.poll();
        }
        runUntil(io, [&] { return caller.count("you sent hi") == 1; });
        CHECK(counters->requests == 1);
    }
    SUBCASE("with a chunked body")
    {
        caller.send("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        runUntil(io, [&] { return caller.count("you sent abcde") == 1; });
        CHECK(handler.requests[0].body == "abcde");
    }
    SUBCASE("the caller asks to close")
    {
        caller.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        runUntil(io, [&] { return caller.isClosed(); });
        CHECK(caller.count("Connection: close") == 1);
    }
    SUBCASE("the caller waits for permission to send its body")
    {
        caller.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        runUntil(io, [&] { return caller.count("100 Continue") == 1; });
        caller.send("hi");
        runUntil(io, [&] { return caller.count("you sent hi") == 1; });
        CHECK(counters->requests == 1);
    }
}

TEST_CASE_FIXTURE(ServerFixture, "what is malformed or too large is refused, counted, and harms nobody else")
{
    Bystander bystander(*this);
    RawCaller caller(io, endpoint);
    std::string status;
    std::string bytes;

    SUBCASE("no HTTP at all")
    {
        bytes = "\x16\x03\x01\x02hello\r\n\r\n";
        status = "HTTP/1.1 400";
    }
    SUBCASE("a header field without colon")
    {
        bytes = "GET / HTTP/1.1\r\nno colon here\r\n\r\n";
        status = "HTTP/1.1 400";
    }
    SUBCASE("two lengths that differ")
    {
        bytes = "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc";
        status = "HTTP/1.1 400";
    }
    SUBCASE("a length that is no number")
    {
        bytes = "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\nabc";
        status = "HTTP/1.1 400";
    }
    SUBCASE("both a length and chunks")
    {
        bytes = "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        status = "HTTP/1.1 400";
    }
    SUBCASE("a header above the limit")
    {
        bytes = "GET / HTTP/1.1\r\nX-Long: " + std::string(2000, 'x') + "\r\n\r\n";
        status = "HTTP/1.1 431";
    }
    SUBCASE("a body whose stated length is above the limit")
    {
        bytes = "POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n";
        status = "HTTP/1.1 413";
    }
    SUBCASE("chunks that add up to more than the limit")
    {
        bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 0; i < 3; ++i)
            bytes += "400\r\n" + std::string(1024, 'x') + "\r\n";
        status = "HTTP/1.1 413";
    }
    SUBCASE("garbage pipelined behind a good request: the good one is answered first")
    {
        bytes = goodRequest + "garbage\r\n\r\n";
        status = "HTTP/1.1 400";
    }
    caller.send(bytes);
    runUntil(io, [&] { return caller.isClosed(); });
    CHECK(caller.count(status) == 1);
    CHECK(counters->malformed + counters->oversized == 1);
    CHECK(handler.requests.size() == 1 + caller.count("you sent hi"));
    bystander.mustBeAnswered();
}

TEST_CASE_FIXTURE(ServerFixture, "a caller that stops in the middle holds nothing up")
{
    Bystander bystander(*this);
    RawCaller caller(io, endpoint);

    SUBCASE("it closes with half a request sent: the request is never handled")
    {
        caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        io.poll();
        caller.close();
        RawCaller next(io, endpoint);
        next.send(goodRequest);
        runUntil(io, [&] { return next.count("you sent hi") == 1; });
        CHECK(handler.requests.size() == 2);
    }
    SUBCASE("it sends too slowly: the connection is closed and counted")
    {
        caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        runUntil(io, [&] { return io.poll() == 0; });
        clock->advance(11s);
        runUntil(io, [&] { return caller.isClosed(); });
        CHECK(counters->slow == 1);
        CHECK(handler.requests.size() == 1);
    }
    SUBCASE("it sends its header too slowly: that is closed sooner")
    {
        caller.send("POST / HTTP/1.1\r\nContent-Le");
        runUntil(io, [&] { return io.poll() == 0; });
        clock->advance(6s);
        runUntil(io, [&] { return caller.isClosed(); });
        CHECK(counters->slow == 1);
        CHECK(handler.requests.size() == 1);
    }
    SUBCASE("it stays idle for too long: the connection is closed, which is nobody's fault")
    {
        caller.send(goodRequest);
        runUntil(io, [&] { return caller.count("you sent hi") == 1; });
        clock->advance(76s);
        runUntil(io, [&] { return caller.isClosed(); });
        CHECK(counters->slow == 0);
    }
    bystander.mustBeAnswered();
}

TEST_CASE_FIXTURE(ServerFixture, "the handler hears of a caller that goes before its answer")
{
    handler.answersAtOnce = false;
    RawCaller caller(io, endpoint);
    caller.send(goodRequest);
    runUntil(io, [&] { return handler.exchanges.size() == 1; });
    int gone = 0;

    SUBCASE("the function was set before")
    {
        handler.exchanges[0]->onGone([&] { ++gone; });
        io.poll();
        caller.close();
        runUntil(io, [&] { return gone == 1; });
        CHECK(counters->gone == 1);
    }
    SUBCASE("the function is set after")
    {
        caller.close();
        runUntil(io, [&] { return counters->gone == 1; });
        handler.exchanges[0]->onGone([&] { ++gone; });
        runUntil(io, [&] { return gone == 1; });
        CHECK(gone == 1);
    }
    SUBCASE("an answer that comes too late is dropped")
    {
        caller.close();
        runUntil(io, [&] { return counters->gone == 1; });
        handler.exchanges[0]->respond({ 200, "text/plain", "late" });
        io.poll();
        CHECK(caller.count("late") == 0);
    }
}

TEST_CASE_FIXTURE(ServerFixture, "every request gets exactly one answer")
{
    handler.answersAtOnce = false;
    RawCaller caller(io, endpoint);
    caller.send(goodRequest + goodRequest);
    runUntil(io, [&] { return handler.exchanges.size() == 1; });

    SUBCASE("a request that the handler forgets is answered 500")
    {
        handler.exchanges.clear();
        runUntil(io, [&] { return caller.count("HTTP/1.1 500") == 1; });
        CHECK(handler.requests.size() >= 1);
    }
    SUBCASE("a second answer to the first request never reaches the second")
    {
        handler.exchanges[0]->respond({ 200, "text/plain", "first" });
        runUntil(io, [&] { return handler.exchanges.size() == 2; });
        handler.exchanges[0]->respond({ 200, "text/plain", "again" });
        handler.exchanges[1]->respond({ 200, "text/plain", "second" });
        runUntil(io, [&] { return caller.count("second") == 1; });
        CHECK(caller.count("first") == 1);
        CHECK(caller.count("again") == 0);
    }
}

TEST_CASE_FIXTURE(ServerFixture, "a request that begins to arrive while another is answered is read as it was sent")
{
    handler.answersAtOnce = false;
    RawCaller caller(io, endpoint);
    const std::string header = "POST /x HTTP/1.1\r\nContent-Length: 6\r\n\r\n";
    caller.send(header + "first.");
    runUntil(io, [&] { return handler.exchanges.size() == 1; });
    // The next header comes before the answer has gone out; its body comes afterwards.
    caller.send(header);
    runUntil(io, [&] { return io.poll() == 0; });
    handler.exchanges[0]->respond({ 200, "text/plain", "answer" });
    runUntil(io, [&] { return caller.count("answer") == 1; });
    runUntil(io, [&] { return io.poll() == 0; });
    caller.send("second");
    runUntil(io, [&] { return handler.exchanges.size() == 2; });
    CHECK(handler.requests[0].body == "first.");
    CHECK(handler.requests[1].body == "second");
}

TEST_CASE_FIXTURE(ServerFixture, "a draining server closes connections, none of them in the middle of a request")
{
    handler.answersAtOnce = false;
    RawCaller busy(io, endpoint);
    busy.send(goodRequest);
    runUntil(io, [&] { return handler.exchanges.size() == 1; });
    RawCaller idle(io, endpoint);
    runUntil(io, [&] { return counters->connections == 2; });
    server.beginDrain();
    runUntil(io, [&] { return idle.isClosed(); });
    CHECK_FALSE(busy.isClosed());
    handler.exchanges[0]->respond({ 200, "text/plain", "done" });
    runUntil(io, [&] { return busy.isClosed(); });
    CHECK(busy.count("done") == 1);
}

TEST_CASE_FIXTURE(ServerFixture, "random damage to good requests never stops the server")
{
    constexpr std::uint64_t seed = 20261204;
    CAPTURE(seed);
    SeededRandom random(seed);
    for (int round = 0; round < 300; ++round) {
        CAPTURE(round);
        std::string bytes = goodRequest + goodRequest;
        for (std::uint64_t i = random.below(6) + 1; i > 0; --i)
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        bytes.resize(random.below(bytes.size()) + 1);
        RawCaller damaged(io, endpoint);
        damaged.send(bytes);
        io.poll();
        damaged.close();
        io.poll();
    }
    RawCaller caller(io, endpoint);
    caller.send(goodRequest);
    runUntil(io, [&] { return caller.count("you sent hi") == 1; });
    CHECK(caller.count("HTTP/1.1 200") == 1);
}

TEST_CASE_FIXTURE(ServerFixture, "connections above the limit are closed at once")
{
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 50; ++i)
        callers.push_back(std::make_unique<RawCaller>(io, endpoint));
    RawCaller onceTooMany(io, endpoint);
    runUntil(io, [&] { return onceTooMany.isClosed(); });
    CHECK(counters->overLimit == 1);
    callers.front()->send(goodRequest);
    runUntil(io, [&] { return callers.front()->count("you sent hi") == 1; });
    CHECK(counters->connections == 50);
}

TEST_SUITE_END();
