#include "support/fault_link.h"

#include "support/raw_caller.h"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// A caller whose bytes pass a link to a listening socket.
struct LinkFixture {
    LinkFixture()
        : listening(io, { boost::asio::ip::address_v4::loopback(), 0 })
        , link(io, { "127.0.0.1", listening.local_endpoint().port() })
        , caller(io)
        , accepted(io)
    {
        caller.connect({ boost::asio::ip::address_v4::loopback(), link.endpoint().port });
        bool isAccepted = false;
        listening.async_accept(accepted, [&](const boost::system::error_code&) { isAccepted = true; });
        runUntil(io, [&] { return isAccepted; });
    }

    boost::asio::io_context io { 1 };
    boost::asio::ip::tcp::acceptor listening;
    FaultLink link;
    boost::asio::ip::tcp::socket caller;
    boost::asio::ip::tcp::socket accepted;
};

}

// Guards against a delay for each piece read, which makes a stream of many bytes later and later.
TEST_CASE("A link with a delay carries many bytes at once, in order" * doctest::test_suite("standin"))
{
    constexpr Duration delay = 100ms;
    constexpr std::size_t length = 1024U * 1024;
    LinkFixture fixture;
    fixture.link.setFaults({ .delay = delay });
    std::string sent;
    for (std::size_t i = 0; i < length; ++i)
        sent += static_cast<char>('a' + i % 23);
    std::string received(length, ' ');
    bool hasAll = false;
    bool isLate = false;
    // 64 pieces of 16 KiB, one after the other, would take three times as long.
    boost::asio::steady_timer timer(fixture.io, delay * 20);
    timer.async_wait([&](const boost::system::error_code& ec) { isLate = !ec; });
    boost::asio::async_read(fixture.accepted, boost::asio::buffer(received), [&](const boost::system::error_code& ec, std::size_t) { hasAll = !ec; });
    boost::asio::async_write(fixture.caller, boost::asio::buffer(sent), [](const boost::system::error_code&, std::size_t) {});
    runUntil(fixture.io, [&] { return hasAll || isLate; });
    CHECK_FALSE(isLate);
    CHECK((received == sent));
}

TEST_CASE("A link passes on the bytes before the end of the connection" * doctest::test_suite("standin"))
{
    LinkFixture fixture;
    fixture.link.setFaults({ .delay = 50ms });
    boost::asio::write(fixture.caller, boost::asio::buffer(std::string("last words")));
    fixture.caller.close();
    std::string received(10, ' ');
    bool hasAll = false;
    boost::asio::async_read(fixture.accepted, boost::asio::buffer(received), [&](const boost::system::error_code& ec, std::size_t) { hasAll = !ec; });
    runUntil(fixture.io, [&] { return hasAll; });
    CHECK(received == "last words");
}

}
