#include "base/random_source.h"
#include "http/http_server_fixture.h"
#include "http/probe_limits.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace lycheefield;

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
