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

struct Heard final : HttpClientEvents {
    void onConnected() override { isConnected = true; }
    void onResponse(HttpResponse reply) override { replies.push_back(std::move(reply)); }
    void onLost(bool handed, const std::string&) override
    {
        ++losses;
        bytesHanded = handed;
    }

    bool isConnected = false;
    std::vector<HttpResponse> replies;
    int losses = 0;
    bool bytesHanded = false;
};

/// A server of which the test plays the part.
struct ClientFixture {
    ClientFixture()
        : acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 })
        , peer(io)
        , client(openHttpConnection(boost::asio::make_strand(io), { "127.0.0.1", acceptor.local_endpoint().port() }, heard, 1s))
    {
        acceptor.accept(peer);
        runUntil(io, [&] { return heard->isConnected; });
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
    std::shared_ptr<Heard> heard = std::make_shared<Heard>();
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::socket peer;
    std::shared_ptr<HttpClientConnection> client;
};

const HttpRequest someRequest { "POST", "/v1/run", { { "X-Leg", "3" } }, "body" };

}

TEST_SUITE_BEGIN("http");

TEST_CASE_FIXTURE(ClientFixture, "a connection to a server carries one request after the other")
{
    client->send(someRequest);
    const auto text = readRequest();
    CHECK(text.find("POST /v1/run HTTP/1.1") == 0);
    CHECK(text.find("X-Leg: 3") != std::string::npos);
    answer("HTTP/1.1 200 OK\r\nX-Batches: a,b\r\nContent-Length: 2\r\n\r\n{}");
    runUntil(io, [&] { return heard->replies.size() == 1; });
    CHECK(heard->replies[0].headers.find("x-batches") == "a,b");
    client->send(someRequest);
    readRequest();
    answer("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    runUntil(io, [&] { return heard->replies.size() == 2; });
    CHECK(heard->replies[1].status == 503);
    CHECK(heard->losses == 0);
}

TEST_CASE_FIXTURE(ClientFixture, "a lost connection tells truly whether a request may have run")
{
    SUBCASE("idle: nothing was handed over")
    {
        peer.close();
        runUntil(io, [&] { return heard->losses == 1; });
        CHECK_FALSE(heard->bytesHanded);
    }
    SUBCASE("with a request in flight: it may have run")
    {
        client->send(someRequest);
        readRequest();
        peer.close();
        runUntil(io, [&] { return heard->losses == 1; });
        CHECK(heard->bytesHanded);
        CHECK(heard->replies.empty());
    }
    SUBCASE("in the middle of the answer: it may have run")
    {
        client->send(someRequest);
        readRequest();
        answer("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf");
        peer.close();
        runUntil(io, [&] { return heard->losses == 1; });
        CHECK(heard->bytesHanded);
        CHECK(heard->replies.empty());
    }
    SUBCASE("after an answer that announces the close: that answer counts, and nothing is in flight")
    {
        client->send(someRequest);
        readRequest();
        answer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
        runUntil(io, [&] { return heard->losses == 1; });
        CHECK(heard->replies.size() == 1);
        CHECK_FALSE(heard->bytesHanded);
    }
    SUBCASE("bytes that nobody asked for end the connection")
    {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        runUntil(io, [&] { return heard->losses == 1; });
        CHECK(heard->replies.empty());
    }
    SUBCASE("bytes behind an answer end the connection, so that they answer nothing else")
    {
        client->send(someRequest);
        readRequest();
        answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        runUntil(io, [&] { return heard->losses == 1; });
        CHECK(heard->replies.size() == 1);
        CHECK_FALSE(heard->bytesHanded);
    }
    SUBCASE("an answer that can't be read")
    {
        client->send(someRequest);
        readRequest();
        answer("nonsense\r\n\r\n");
        runUntil(io, [&] { return heard->losses == 1; });
        CHECK(heard->bytesHanded);
    }
    SUBCASE("nothing is reported after our own close")
    {
        client->close();
        peer.close();
        io.run_for(std::chrono::seconds(0));
        CHECK(heard->losses == 0);
    }
}

TEST_CASE("a server that refuses connections has been handed nothing")
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 });
    const Endpoint endpoint { "127.0.0.1", acceptor.local_endpoint().port() };
    acceptor.close();
    const auto heard = std::make_shared<Heard>();
    const auto client = openHttpConnection(boost::asio::make_strand(io), endpoint, heard, 1s);
    runUntil(io, [&] { return heard->losses == 1; });
    CHECK_FALSE(heard->isConnected);
    CHECK_FALSE(heard->bytesHanded);
}

TEST_CASE("a server's reply is believed only as far as it proves something")
{
    const LegKey key { { ProcessLife(1), 2 }, LegNumber(3), AttemptNumber(0) };
    const auto outcome = [&](HttpResponse reply) { return parseRunReply(key, std::move(reply)).outcome; };

    SUBCASE("an answer names its version, epoch and batches")
    {
        const auto answer = parseRunReply(key, { 200, {}, "{}", { { "X-Index-Version", "7" }, { "X-Partition-Epoch", "2" }, { "X-Batches", "a, b" }, { "X-Index-Versions", "7,6" }, { "X-Draining", "1" } } });
        CHECK((answer.outcome == LegOutcome::Ok));
        CHECK(answer.version == IndexVersion(7));
        CHECK(answer.epoch == PartitionEpoch(2));
        CHECK(answer.batches == std::vector { BatchId("a"), BatchId("b") });
        CHECK(answer.versions == std::vector { IndexVersion(6), IndexVersion(7) });
        CHECK(answer.draining);
    }
    SUBCASE("without a version, or with a body that is not JSON, it is no answer")
    {
        CHECK((outcome({ 200, {}, "{}", { { "X-Partition-Epoch", "2" } } }) == LegOutcome::Failed));
        CHECK((outcome({ 200, {}, "{]", { { "X-Index-Version", "7" }, { "X-Partition-Epoch", "2" } } }) == LegOutcome::Failed));
    }
    SUBCASE("a refusal counts only with its reason")
    {
        CHECK((outcome({ 503, {}, {}, { { "X-Reason", "shed" } } }) == LegOutcome::Refused));
        CHECK((outcome({ 503, {}, {}, {} }) == LegOutcome::Failed));
        CHECK((outcome({ 409, {}, {}, { { "X-Reason", "version-gone" } } }) == LegOutcome::VersionGone));
        CHECK((outcome({ 409, {}, {}, { { "X-Reason", "shard-moved" } } }) == LegOutcome::ShardMoved));
        CHECK((outcome({ 504, {}, {}, { { "X-Reason", "expired" } } }) == LegOutcome::Expired));
        CHECK((outcome({ 504, {}, {}, {} }) == LegOutcome::Failed));
        CHECK((outcome({ 499, {}, {}, { { "X-Reason", "cancelled" } } }) == LegOutcome::Cancelled));
    }
    SUBCASE("only what was proved not to run is called so")
    {
        CHECK_FALSE(provesNotRun(outcome({ 502, {}, {}, {} })));
        CHECK_FALSE(provesNotRun(outcome({ 503, {}, {}, {} })));
        CHECK(provesNotRun(outcome({ 503, {}, {}, { { "X-Reason", "draining" } } })));
    }
}

TEST_SUITE_END();
