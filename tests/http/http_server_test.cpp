#include "http/http_server_fixture.h"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <vector>

using namespace lycheefield;

TEST_SUITE_BEGIN("http");

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

// A process that stopped took an answer for delivered once it was written, and cut it off while the caller still read (review/14).
TEST_CASE_FIXTURE(ServerFixture, "The server is sending until its system has taken each response as a whole")
{
    constexpr std::size_t size = 16 * 1024 * 1024;
    handler.respondsImmediately = false;
    boost::asio::ip::tcp::socket caller(io);
    caller.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
    boost::asio::write(caller, boost::asio::buffer(goodRequest));
    runUntil(io, [&] { return handler.exchanges.size() == 1; });
    CHECK_FALSE(server.isSending());
    handler.exchanges.front()->respond({ 200, "text/plain", std::string(size, 'x') });
    runUntil(io, [&] { return server.isSending(); });
    io.restart();
    io.poll();
    CHECK(server.isSending());
    std::vector<char> received(size);
    boost::asio::async_read(caller, boost::asio::buffer(received), [](const boost::system::error_code&, std::size_t) {});
    runUntil(io, [&] { return !server.isSending(); });
    CHECK_FALSE(server.isSending());
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

TEST_SUITE_END();
