#include "http/backend_connection.h"
#include "http/backend_message.h"
#include "http/http_client_connection.h"
#include "support/raw_caller.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <optional>

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

struct RecordedEvents final : HttpClientEvents {
    void onConnected() override { isConnected = true; }
    void onResponse(HttpResponse response) override { responses.push_back(std::move(response)); }
    void onLost(bool wroteBytes, const std::string&) override
    {
        ++losses;
        bytesWritten = wroteBytes;
    }

    bool isConnected = false;
    std::vector<HttpResponse> responses;
    int losses = 0;
    bool bytesWritten = false;
};

/// Client connection to a server that the test itself implements on a socket.
struct ClientFixture {
    ClientFixture()
        : acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 })
        , peer(io)
        , client(openHttpConnection(boost::asio::make_strand(io), { "127.0.0.1", acceptor.local_endpoint().port() }, events, 1s, { .buffers = buffers }, "shard"))
    {
        acceptor.accept(peer);
        runUntil(io, [&] { return events->isConnected; });
    }

    std::string readRequest()
    {
        io.poll();
        std::string text;
        boost::asio::read_until(peer, boost::asio::dynamic_buffer(text), "\r\n\r\n");
        return text;
    }

    void answer(std::string_view bytes) { boost::asio::write(peer, boost::asio::buffer(bytes)); }

    boost::asio::io_context io;
    std::shared_ptr<RecordedEvents> events = std::make_shared<RecordedEvents>();
    std::shared_ptr<BufferLimit> buffers = std::make_shared<BufferLimit>();
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::socket peer;
    std::shared_ptr<HttpClientConnection> client;
};

const HttpRequest someRequest { "POST", "/v1/run", { { "X-Leg", "3" } }, "body" };

}

TEST_SUITE_BEGIN("http");

TEST_CASE_FIXTURE(ClientFixture, "A client connection carries several requests one after the other")
{
    client->send(someRequest);
    const auto text = readRequest();
    CHECK(text.find("POST /v1/run HTTP/1.1") == 0);
    CHECK(text.find("X-Leg: 3") != std::string::npos);
    answer("HTTP/1.1 200 OK\r\nX-Batches: a,b\r\nContent-Length: 2\r\n\r\n{}");
    runUntil(io, [&] { return events->responses.size() == 1; });
    CHECK(events->responses[0].headers.find("x-batches") == "a,b");
    client->send(someRequest);
    readRequest();
    answer("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    runUntil(io, [&] { return events->responses.size() == 2; });
    CHECK(events->responses[1].status == 503);
    CHECK(events->losses == 0);
}

TEST_CASE_FIXTURE(ClientFixture, "A client connection that is lost reports whether a request may have run")
{
    SUBCASE("The server closes an idle connection: no request was sent")
    {
        peer.close();
        runUntil(io, [&] { return events->losses == 1; });
        CHECK_FALSE(events->bytesWritten);
    }
    SUBCASE("The server closes with a request in flight: the request may have run")
    {
        client->send(someRequest);
        readRequest();
        peer.close();
        runUntil(io, [&] { return events->losses == 1; });
        CHECK(events->bytesWritten);
        CHECK(events->responses.empty());
    }
    SUBCASE("The server closes in the middle of a response: the request may have run")
    {
        client->send(someRequest);
        readRequest();
        answer("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf");
        peer.close();
        runUntil(io, [&] { return events->losses == 1; });
        CHECK(events->bytesWritten);
        CHECK(events->responses.empty());
    }
    SUBCASE("The server closes after a response with \"Connection: close\": the response is delivered, and no request is in flight")
    {
        client->send(someRequest);
        readRequest();
        answer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
        runUntil(io, [&] { return events->losses == 1; });
        CHECK(events->responses.size() == 1);
        CHECK_FALSE(events->bytesWritten);
    }
    SUBCASE("The connection ends when the server sends bytes while no request is in flight")
    {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        runUntil(io, [&] { return events->losses == 1; });
        CHECK(events->responses.empty());
    }
    SUBCASE("The connection ends when bytes follow a response, so that these bytes are not taken for the next response")
    {
        client->send(someRequest);
        readRequest();
        answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        runUntil(io, [&] { return events->losses == 1; });
        CHECK(events->responses.size() == 1);
        CHECK_FALSE(events->bytesWritten);
    }
    SUBCASE("The connection ends when the server sends a malformed response: the request may have run")
    {
        client->send(someRequest);
        readRequest();
        answer("nonsense\r\n\r\n");
        runUntil(io, [&] { return events->losses == 1; });
        CHECK(events->bytesWritten);
    }
    SUBCASE("The connection reports no event after the client called close()")
    {
        client->close();
        peer.close();
        io.run_for(std::chrono::seconds(0));
        CHECK(events->losses == 0);
    }
}

TEST_CASE("A response whose head or body ends early is never delivered")
{
    const std::string withLength = "HTTP/1.1 200 OK\r\nLycheefield-Response-Stamp: s\r\nContent-Length: 16\r\n\r\n0123456789abcdef";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
    const std::string untilClose = "HTTP/1.1 200 OK\r\nLycheefield-Response-Stamp: s\r\n\r\n";
    for (const auto& whole : { withLength, chunked, untilClose }) {
        for (std::size_t n = 1; n < whole.size(); ++n) {
            CAPTURE(whole.substr(0, n));
            ClientFixture fixture;
            fixture.client->send({ "GET", "/x", {}, "" });
            fixture.readRequest();
            fixture.answer(whole.substr(0, n));
            boost::system::error_code ec;
            fixture.peer.close(ec);
            runUntil(fixture.io, [&] { return fixture.events->losses == 1; });
            CHECK(fixture.events->responses.empty());
            CHECK(fixture.events->bytesWritten);
        }
    }
}

TEST_CASE_FIXTURE(ClientFixture, "Bytes without end in a response close the connection and end nothing else")
{
    client->send({ "GET", "/x", {}, "" });
    readRequest();
    std::string start;
    std::string filler(4096, '0');
    SUBCASE("in the head") { start = "HTTP/1.1 200 OK\r\nX-Long: "; }
    SUBCASE("in a chunk's size") { start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; }
    SUBCASE("in a chunk's size, of bytes that are no digits")
    {
        start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        filler.assign(4096, '\0');
    }
    SUBCASE("in a chunk's extension") { start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x="; }
    SUBCASE("in the trailer") { start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: "; }
    answer(start);
    for (int i = 0; i < 4096 && events->losses == 0; ++i) {
        boost::system::error_code ec;
        boost::asio::write(peer, boost::asio::buffer(filler), ec);
        io.restart();
        io.poll();
    }
    CHECK(events->losses == 1);
    CHECK(events->responses.empty());
}

TEST_CASE_FIXTURE(ClientFixture, "A response that is discarded takes no memory, and the connection carries on")
{
    constexpr std::size_t half = 300000;
    client->send(someRequest);
    readRequest();
    answer("HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n");
    const auto sendHalf = [&] {
        answer(std::string(half, 'x'));
        io.restart();
        io.poll();
    };
    SUBCASE("from its middle on")
    {
        sendHalf();
        CHECK(buffers->bytes() > half / 2);
        client->discardResponse();
        CHECK(buffers->bytes() < 1024);
    }
    SUBCASE("from its start on")
    {
        client->discardResponse();
        sendHalf();
        CHECK(buffers->peakBytes() < half / 10);
    }
    sendHalf();
    runUntil(io, [&] { return events->responses.size() == 1; });
    CHECK(events->responses[0].status == 200);
    CHECK(events->responses[0].body.empty());
    CHECK(buffers->bytes() == 0);
    client->send(someRequest);
    readRequest();
    answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    runUntil(io, [&] { return events->responses.size() == 2; });
    CHECK(events->responses[1].body == "{}");
    CHECK(events->losses == 0);
}

TEST_CASE_FIXTURE(ClientFixture, "A connection whose buffers are released for others ends as broken")
{
    client->send(someRequest);
    readRequest();
    answer("HTTP/1.1 200 OK\r\n\r\n" + std::string(100000, 'x'));
    buffers->setMax(ByteCount { 50000 });
    runUntil(io, [&] { return events->losses == 1; });
    CHECK(events->bytesWritten);
    CHECK(events->responses.empty());
    CHECK(buffers->bytes() == 0);
    CHECK(buffers->takeEvictions().at(0).owner == "shard");
}

TEST_CASE("A client connection that the server refuses reports that no request was sent")
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 });
    const Endpoint endpoint { "127.0.0.1", acceptor.local_endpoint().port() };
    acceptor.close();
    const auto events = std::make_shared<RecordedEvents>();
    const auto client = openHttpConnection(boost::asio::make_strand(io), endpoint, events, 1s);
    runUntil(io, [&] { return events->losses == 1; });
    CHECK_FALSE(events->isConnected);
    CHECK_FALSE(events->bytesWritten);
}

TEST_CASE("parseRunResponse reports only what the server's response proves")
{
    const LegKey key { { ProcessLife(1), 2 }, LegNumber(3), AttemptNumber(0) };
    const auto outcome = [&](HttpResponse response) { return parseRunResponse(key, std::move(response)).outcome; };

    SUBCASE("A complete response yields index version, partition epoch, batches and drain state")
    {
        const auto answer = parseRunResponse(key, { 200, {}, "{}", { { "X-Index-Version", "7" }, { "X-Partition-Epoch", "2" }, { "X-Batches", "a, b" }, { "X-Index-Versions", "7,6" }, { "X-Draining", "1" } } });
        CHECK((answer.outcome == LegOutcome::Ok));
        CHECK(answer.version == IndexVersion(7));
        CHECK(answer.epoch == PartitionEpoch(2));
        CHECK(answer.batches == std::vector { BatchId("a"), BatchId("b") });
        CHECK(answer.versions == std::vector { IndexVersion(6), IndexVersion(7) });
        CHECK(answer.draining);
    }
    SUBCASE("A response without index version, or with a body that is not JSON, is a failure")
    {
        CHECK((outcome({ 200, {}, "{}", { { "X-Partition-Epoch", "2" } } }) == LegOutcome::Failed));
        CHECK((outcome({ 200, {}, "{]", { { "X-Index-Version", "7" }, { "X-Partition-Epoch", "2" } } }) == LegOutcome::Failed));
    }
    SUBCASE("The X-Reason header distinguishes a refusal from a failure")
    {
        CHECK((outcome({ 503, {}, {}, { { "X-Reason", "shed" } } }) == LegOutcome::Refused));
        CHECK((outcome({ 503, {}, {}, {} }) == LegOutcome::Failed));
        CHECK((outcome({ 409, {}, {}, { { "X-Reason", "version-gone" } } }) == LegOutcome::VersionGone));
        CHECK((outcome({ 409, {}, {}, { { "X-Reason", "shard-moved" } } }) == LegOutcome::ShardMoved));
        CHECK((outcome({ 504, {}, {}, { { "X-Reason", "expired" } } }) == LegOutcome::Expired));
        CHECK((outcome({ 504, {}, {}, {} }) == LegOutcome::Failed));
        CHECK((outcome({ 499, {}, {}, { { "X-Reason", "cancelled" } } }) == LegOutcome::Cancelled));
    }
    SUBCASE("Only a refusal with its X-Reason header proves that the leg did not run")
    {
        CHECK_FALSE(provesNotRun(outcome({ 502, {}, {}, {} })));
        CHECK_FALSE(provesNotRun(outcome({ 503, {}, {}, {} })));
        CHECK(provesNotRun(outcome({ 503, {}, {}, { { "X-Reason", "draining" } } })));
    }
}

TEST_SUITE_END();
