#include "http/tcp_round_trip.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

namespace lycheefield {

using boost::asio::ip::tcp;

TEST_CASE("The round trip of a connection is known from its handshake on" * doctest::test_suite("http"))
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 });
    tcp::socket caller(io);
    caller.connect(acceptor.local_endpoint());
    const auto accepted = acceptor.accept();
    CHECK(tcpRoundTrip(caller.native_handle()) > Duration {});

    SUBCASE("A socket without a connection has none")
    {
        tcp::socket unconnected(io, tcp::v4());
        CHECK(tcpRoundTrip(unconnected.native_handle()) == Duration {});
    }
    SUBCASE("A descriptor that is no TCP socket has none")
    {
        constexpr int none = -1;
        CHECK(tcpRoundTrip(none) == Duration {});
    }
}

}
