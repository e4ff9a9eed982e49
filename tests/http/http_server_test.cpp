#include "base/random_source.h"
#include "http/http_server.h"
#include "http/probe_limits.h"
#include "support/raw_caller.h"
#include "support/virtual_clock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

const std::string goodRequest = "POST /search/quotes HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";

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

TEST_SUITE_BEGIN("http");

// Guards against callers that use up the memory of the process with requests inside their own limits.
TEST_CASE("Callers that send much at once are refused beyond what all connections may buffer" * doctest::test_suite("http"))
{
    boost::asio::io_context io;
    DeferringHandler handler;
    const auto counters = std::make_shared<HttpServerCounters>();
    HttpLimits limits;
    limits.maxHeaderBytes = 1024;
    limits.maxBufferedBytes = 64 * 1024;
    HttpServer server(io, handler, std::make_shared<SteadyClock>(), counters, limits);
    const auto endpoint = server.listen({ "127.0.0.1", 0 }).value();
    const std::string header = "POST /big HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n";
    RawCaller first(io, endpoint);
    first.send(header + std::string(49'000, 'x'));
    // What has been sent over the loopback is read at once.
    while (io.poll() > 0) { }
    RawCaller second(io, endpoint);
    second.send(header + std::string(40'000, 'x'));
    runUntil(io, [&] { return second.isClosed(); });
    CHECK(second.count("HTTP/1.1 503") == 1);
    CHECK(second.count("Retry-After: 1") == 1);
    CHECK(counters->overMemoryLimit == 1);
    CHECK(handler.requests.empty());

    SUBCASE("Small requests are served meanwhile")
    {
        RawCaller small(io, endpoint);
        small.send(goodRequest);
        runUntil(io, [&] { return small.count("you sent hi") == 1; });
    }
    SUBCASE("The first one is served, and its bytes are free again afterwards")
    {
        for (int i = 0; i < 3; ++i) {
            first.send(i == 0 ? std::string(1'000, 'x') : header + std::string(50'000, 'x'));
            runUntil(io, [&] { return first.count("you sent x") == static_cast<std::size_t>(i) + 1 || first.isClosed(); });
            CHECK(first.count("HTTP/1.1 200") == static_cast<std::size_t>(i) + 1);
        }
    }
    SUBCASE("When the first caller leaves, its bytes are free")
    {
        first.close();
        RawCaller third(io, endpoint);
        runUntil(io, [&] { return counters->connections == 3; });
        third.send(header + std::string(50'000, 'x'));
        runUntil(io, [&] { return third.count("HTTP/1.1") == 1; });
        CHECK(third.count("HTTP/1.1 200") == 1);
    }
}

TEST_CASE_FIXTURE(ServerFixture, "A server connection handles several requests one after the other")
{
    RawCaller caller(io, endpoint);

    SUBCASE("The caller sends each request after the previous response")
    {
        caller.send(goodRequest);
        runUntil(io, [&] { return caller.count("you sent hi") == 1; });
        caller.send(goodRequest);
        runUntil(io, [&] { return caller.count("you sent hi") == 2; });
        CHECK(handler.requests.size() == 2);
        CHECK(handler.requests[0].path() == "/search/quotes");
    }
    SUBCASE("The caller pipelines the requests: the server responds in order")
    {
        caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwoGET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
        runUntil(io, [&] { return handler.requests.size() == 3 && caller.count("HTTP/1.1 200") == 3; });
        CHECK(handler.requests[0].target == "/1");
        CHECK(handler.requests[1].body == "two");
        CHECK(handler.requests[2].target == "/3");
        CHECK(caller.received().find("you sent two") > caller.received().find("you sent "));
    }
    SUBCASE("The caller sends the request in pieces of one byte")
    {
        for (const char c : goodRequest) {
            caller.send({ &c, 1 });
            io.poll();
        }
        runUntil(io, [&] { return caller.count("you sent hi") == 1; });
        CHECK(counters->requests == 1);
    }
    SUBCASE("The caller sends a chunked body")
    {
        caller.send("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        runUntil(io, [&] { return caller.count("you sent abcde") == 1; });
        CHECK(handler.requests[0].body == "abcde");
    }
    SUBCASE("The caller sends \"Connection: close\": the server closes after the response")
    {
        caller.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        runUntil(io, [&] { return caller.isClosed(); });
        CHECK(caller.count("Connection: close") == 1);
    }
    SUBCASE("The caller sends \"Expect: 100-continue\": the server asks for the body")
    {
        caller.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        runUntil(io, [&] { return caller.count("100 Continue") == 1; });
        caller.send("hi");
        runUntil(io, [&] { return caller.count("you sent hi") == 1; });
        CHECK(counters->requests == 1);
    }
}

TEST_CASE_FIXTURE(ServerFixture, "The server refuses and counts a malformed or oversized request without effect on other callers")
{
    ConcurrentCaller bystander(*this);
    RawCaller caller(io, endpoint);
    std::string status;
    std::string bytes;

    SUBCASE("The bytes are not HTTP: status 400")
    {
        bytes = "\x16\x03\x01\x02hello\r\n\r\n";
        status = "HTTP/1.1 400";
    }
    SUBCASE("A header field lacks its colon: status 400")
    {
        bytes = "GET / HTTP/1.1\r\nno colon here\r\n\r\n";
        status = "HTTP/1.1 400";
    }
    SUBCASE("Two Content-Length fields differ: status 400")
    {
        bytes = "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc";
        status = "HTTP/1.1 400";
    }
    SUBCASE("The Content-Length is not a number: status 400")
    {
        bytes = "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\nabc";
        status = "HTTP/1.1 400";
    }
    SUBCASE("The request has both a Content-Length and a chunked body: status 400")
    {
        bytes = "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        status = "HTTP/1.1 400";
    }
    SUBCASE("The header exceeds the limit: status 431")
    {
        bytes = "GET / HTTP/1.1\r\nX-Long: " + std::string(2000, 'x') + "\r\n\r\n";
        status = "HTTP/1.1 431";
    }
    SUBCASE("The Content-Length exceeds the body limit: status 413")
    {
        bytes = "POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n";
        status = "HTTP/1.1 413";
    }
    SUBCASE("The sum of the chunks exceeds the body limit: status 413")
    {
        bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 0; i < 3; ++i)
            bytes += "400\r\n" + std::string(1024, 'x') + "\r\n";
        status = "HTTP/1.1 413";
    }
    SUBCASE("The body has an encoding other than chunked, and is not read as a request: status 400")
    {
        bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n" + goodRequest;
        status = "HTTP/1.1 400";
    }
    SUBCASE("A chunk's extension does not end: status 431")
    {
        bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=" + std::string(1'000'000, 'x');
        status = "HTTP/1.1 431";
    }
    SUBCASE("A trailer does not end: status 431")
    {
        bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " + std::string(1'000'000, 'x');
        status = "HTTP/1.1 431";
    }
    SUBCASE("Garbage follows a valid pipelined request: the server answers the valid request, then responds with status 400")
    {
        bytes = goodRequest + "garbage\r\n\r\n";
        status = "HTTP/1.1 400";
    }
    caller.send(bytes);
    runUntil(io, [&] { return caller.isClosed(); });
    CHECK(caller.count(status) == 1);
    CHECK(counters->malformed + counters->oversized == 1);
    CHECK(handler.requests.size() == 1 + caller.count("you sent hi"));
    bystander.checkAnswered();
}

TEST_CASE_FIXTURE(ServerFixture, "A caller that stalls or disconnects during a request does not delay other callers")
{
    ConcurrentCaller bystander(*this);
    RawCaller caller(io, endpoint);

    SUBCASE("The caller disconnects after half a request: the handler does not see the request")
    {
        caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        io.poll();
        caller.close();
        RawCaller next(io, endpoint);
        next.send(goodRequest);
        runUntil(io, [&] { return next.count("you sent hi") == 1; });
        CHECK(handler.requests.size() == 2);
    }
    SUBCASE("The caller sends its body too slowly: the server closes and counts the connection")
    {
        caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        runUntil(io, [&] { return io.poll() == 0; });
        clock->advance(11s);
        runUntil(io, [&] { return caller.isClosed(); });
        CHECK(counters->slow == 1);
        CHECK(handler.requests.size() == 1);
    }
    SUBCASE("The caller sends its header too slowly: the server closes the connection after the shorter header time-out")
    {
        caller.send("POST / HTTP/1.1\r\nContent-Le");
        runUntil(io, [&] { return io.poll() == 0; });
        clock->advance(6s);
        runUntil(io, [&] { return caller.isClosed(); });
        CHECK(counters->slow == 1);
        CHECK(handler.requests.size() == 1);
    }
    SUBCASE("The caller stays idle for too long: the server closes the connection without counting it as slow")
    {
        caller.send(goodRequest);
        runUntil(io, [&] { return caller.count("you sent hi") == 1; });
        clock->advance(76s);
        runUntil(io, [&] { return caller.isClosed(); });
        CHECK(counters->slow == 0);
    }
    bystander.checkAnswered();
}

TEST_CASE_FIXTURE(ServerFixture, "The handler is notified of a caller that disconnects before the response")
{
    handler.respondsImmediately = false;
    RawCaller caller(io, endpoint);
    caller.send(goodRequest);
    runUntil(io, [&] { return handler.exchanges.size() == 1; });
    int disconnectCalls = 0;

    SUBCASE("The disconnect function was set before the caller disconnected")
    {
        handler.exchanges[0]->onDisconnect([&] { ++disconnectCalls; });
        io.poll();
        caller.close();
        runUntil(io, [&] { return disconnectCalls == 1; });
        CHECK(counters->disconnectedCallers == 1);
    }
    SUBCASE("The disconnect function is set after the caller disconnected")
    {
        caller.close();
        runUntil(io, [&] { return counters->disconnectedCallers == 1; });
        handler.exchanges[0]->onDisconnect([&] { ++disconnectCalls; });
        runUntil(io, [&] { return disconnectCalls == 1; });
        CHECK(disconnectCalls == 1);
    }
    SUBCASE("The server drops a response that comes after the caller disconnected")
    {
        caller.close();
        runUntil(io, [&] { return counters->disconnectedCallers == 1; });
        handler.exchanges[0]->respond({ 200, "text/plain", "late" });
        io.poll();
        CHECK(caller.count("late") == 0);
    }
}

TEST_CASE_FIXTURE(ServerFixture, "The server sends exactly one response to each request")
{
    handler.respondsImmediately = false;
    RawCaller caller(io, endpoint);
    caller.send(goodRequest + goodRequest);
    runUntil(io, [&] { return handler.exchanges.size() == 1; });

    SUBCASE("The server responds with status 500 when the handler destroys the exchange without a response")
    {
        handler.exchanges.clear();
        runUntil(io, [&] { return caller.count("HTTP/1.1 500") == 1; });
        CHECK(handler.requests.size() >= 1);
    }
    SUBCASE("The server drops a second response to the first request instead of sending it for the second")
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

TEST_CASE_FIXTURE(ServerFixture, "A request whose header arrives while another request is handled is read unchanged")
{
    handler.respondsImmediately = false;
    RawCaller caller(io, endpoint);
    const std::string header = "POST /x HTTP/1.1\r\nContent-Length: 6\r\n\r\n";
    caller.send(header + "first.");
    runUntil(io, [&] { return handler.exchanges.size() == 1; });
    // The header of the second request arrives before the first response is sent; the body arrives afterwards.
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

TEST_CASE_FIXTURE(ServerFixture, "A draining server closes idle connections at once and the others after their responses")
{
    handler.respondsImmediately = false;
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

TEST_CASE_FIXTURE(ServerFixture, "The server still answers valid requests after requests with random damage")
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

TEST_CASE_FIXTURE(ServerFixture, "The server closes connections above the limit at once")
{
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 50; ++i)
        callers.push_back(std::make_unique<RawCaller>(io, endpoint));
    RawCaller surplus(io, endpoint);
    runUntil(io, [&] { return surplus.isClosed(); });
    CHECK(counters->overConnectionLimit == 1);
    callers.front()->send(goodRequest);
    runUntil(io, [&] { return callers.front()->count("you sent hi") == 1; });
    CHECK(counters->connections == 50);
}

// Guards against a process whose descriptors are all taken by connections to its readiness or metrics port.
TEST_CASE("Connections to a port for readiness checks take few descriptors, and idle ones make room for a check" * doctest::test_suite("http"))
{
    boost::asio::io_context io;
    DeferringHandler handler;
    const auto clock = std::make_shared<VirtualClock>();
    const auto counters = std::make_shared<HttpServerCounters>();
    auto limits = probeLimits();
    limits.checkInterval = 1ms;
    HttpServer server(io, handler, clock, counters, limits);
    const auto endpoint = server.listen({ "127.0.0.1", 0 }).value();
    constexpr std::uint64_t opened = 200;
    std::vector<std::unique_ptr<RawCaller>> idle;
    for (std::uint64_t i = 0; i < opened; ++i)
        idle.push_back(std::make_unique<RawCaller>(io, endpoint));
    runUntil(io, [&] { return counters->connections + counters->overConnectionLimit == opened; });
    CHECK(counters->connections <= 64);
    CHECK(counters->connections >= 1);

    clock->advance(16s);
    runUntil(io, [&] { return std::all_of(idle.begin(), idle.end(), [](const auto& it) { return it->isClosed(); }); });
    RawCaller check(io, endpoint);
    check.send("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil(io, [&] { return check.count("HTTP/1.1 200") == 1; });
}

TEST_SUITE_END();
