#include "wire/gateway_handshake.h"

#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <string>

namespace lycheefield {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

TEST_CASE("The gateway handshake opens a tunnel by HTTP CONNECT" * doctest::test_suite("wire"))
{
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket near(io);
    near.connect(acceptor.local_endpoint());
    tcp::socket gateway(io);
    acceptor.accept(gateway);
    std::optional<boost::system::error_code> outcome;
    openGatewayTunnel(near, { "127.0.0.1", 4242 }, [&](const boost::system::error_code& ec) { outcome = ec; });

    SUBCASE("The handshake leaves the bytes after the gateway's response for the peer's protocol")
    {
        asio::write(gateway, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nhello")));
        io.run();
        REQUIRE(outcome);
        CHECK_FALSE(outcome->failed());
        std::string request;
        asio::read_until(gateway, asio::dynamic_buffer(request), "\r\n\r\n");
        CHECK(request.starts_with("CONNECT 127.0.0.1:4242 HTTP/1.1\r\n"));
        std::string rest(5, ' ');
        asio::read(near, asio::buffer(rest));
        CHECK(rest == "hello");
    }
    SUBCASE("The handshake fails when the gateway refuses the tunnel")
    {
        asio::write(gateway, asio::buffer(std::string("HTTP/1.1 502 Bad Gateway\r\n\r\n")));
        io.run();
        REQUIRE(outcome);
        CHECK(outcome->failed());
    }
    SUBCASE("The handshake fails when the gateway closes the connection")
    {
        gateway.close();
        io.run();
        REQUIRE(outcome);
        CHECK(outcome->failed());
    }
}

}
