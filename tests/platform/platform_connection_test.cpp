#include "platform/platform_connection.h"

#include "base/endpoint.h"
#include "support/raw_caller.h"

#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

/// Accepts one connection and writes the same bytes to it until the peer closes it or the byte limit is reached.
class EndlessServer {
public:
    EndlessServer(boost::asio::io_context& io, std::string start, std::string filler, std::size_t maxBytes)
        : m_acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_peer(io)
        , m_start(std::move(start))
        , m_filler(std::move(filler))
        , m_maxBytes(maxBytes)
    {
        m_acceptor.async_accept(m_peer, [this](const boost::system::error_code&) { write(m_start); });
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    bool isClosedByPeer() const { return m_isClosedByPeer; }
    bool isExhausted() const { return m_written >= m_maxBytes; }

private:
    void write(const std::string& bytes)
    {
        boost::asio::async_write(m_peer, boost::asio::buffer(bytes), [this](const boost::system::error_code& ec, std::size_t n) {
            m_written += n;
            m_isClosedByPeer = ec.failed();
            if (!m_isClosedByPeer && !isExhausted())
                write(m_filler);
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_peer;
    std::string m_start;
    std::string m_filler;
    std::size_t m_maxBytes;
    std::size_t m_written = 0;
    bool m_isClosedByPeer = false;
};

}

TEST_SUITE_BEGIN("platform");

// Guards against a store whose response has no end: it must not use up the memory of the process before the call times out.
TEST_CASE("A response of the store without end fails its call after a bounded number of bytes")
{
    constexpr std::size_t mebibyte = 1024 * 1024;
    constexpr Duration longTimeout = 10min;
    std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string filler(64 * 1024, '0');
    std::size_t maxBytes = 4 * mebibyte;
    SUBCASE("in the head") { start = "HTTP/1.1 200 OK\r\nX-Long: "; }
    SUBCASE("in a chunk's size") { }
    SUBCASE("in a chunk's size, of bytes that are no digits") { filler.assign(64 * 1024, '\0'); }
    SUBCASE("in a chunk's extension") { start += "5;x="; }
    SUBCASE("in the trailer") { start += "0\r\nX-Long: "; }
    SUBCASE("in the body")
    {
        filler = "10000\r\n" + filler + "\r\n";
        maxBytes = 16 * mebibyte;
    }
    SUBCASE("in a body that ends with the connection")
    {
        start = "HTTP/1.1 200 OK\r\n\r\n";
        maxBytes = 16 * mebibyte;
    }
    boost::asio::io_context io;
    EndlessServer server(io, start, filler, maxBytes);
    const auto connection = makePlatformConnection(boost::asio::make_strand(io), mebibytes(8));
    std::optional<HttpExchangeResult> result;
    connection->connect(server.endpoint(), longTimeout, [&](bool isConnected) {
        REQUIRE(isConnected);
        connection->exchange({ PlatformMethod::Get, "/objects/servers", "" }, longTimeout, [&](HttpExchangeResult outcome) { result = std::move(outcome); });
    });
    runUntil(io, [&] { return result.has_value() || server.isExhausted(); });
    REQUIRE(result);
    CHECK_FALSE(result->hasResponse);
    CHECK_FALSE(connection->isOpen());
}

TEST_SUITE_END();
