#include "base/accept_loop.h"
#include "support/no_free_descriptors.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

#include <new>
#include <vector>

using namespace lycheefield;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("base");

// Guards against a process that uses a whole core to repeat an accept that fails.
TEST_CASE("Without free descriptors a listening socket waits, and accepts again once there are some")
{
    boost::asio::io_context io;
    const auto loop = std::make_shared<AcceptLoop>(io);
    std::vector<boost::asio::ip::tcp::socket> accepted;
    const auto local = loop->listen({ "127.0.0.1", 0 }, "address", [&](boost::asio::ip::tcp::socket socket) { accepted.push_back(std::move(socket)); });
    REQUIRE(local);
    boost::asio::ip::tcp::socket caller(io);
    caller.connect({ boost::asio::ip::address_v4::loopback(), local.value().port });
    {
        const NoFreeDescriptors none;
        // The handlers that are ready now: the accept fails once and leaves a timer.
        constexpr int enoughHandlers = 100;
        int handlers = 0;
        while (handlers < enoughHandlers && io.poll_one() > 0)
            ++handlers;
        CHECK(handlers < enoughHandlers);
        CHECK(accepted.empty());
    }
    while (accepted.empty())
        io.run_one();
    CHECK(accepted.size() == 1);

    SUBCASE("After it is closed it accepts nothing and keeps nothing alive")
    {
        loop->close();
        io.restart();
        io.run();
        boost::system::error_code ec;
        boost::asio::ip::tcp::socket late(io);
        late.connect({ boost::asio::ip::address_v4::loopback(), local.value().port }, ec);
        CHECK(ec == boost::asio::error::connection_refused);
        CHECK(loop.use_count() == 1);
    }
}

// Guards against a process that goes on after an exception but accepts nothing more.
TEST_CASE("A handler that throws does not end the acceptance of connections")
{
    boost::asio::io_context io;
    const auto loop = std::make_shared<AcceptLoop>(io);
    int handled = 0;
    const auto local = loop->listen({ "127.0.0.1", 0 }, "address", [&](const boost::asio::ip::tcp::socket&) {
        if (++handled == 1)
            throw std::bad_alloc();
    });
    REQUIRE(local);
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), local.value().port);
    boost::asio::ip::tcp::socket first(io);
    first.connect(endpoint);
    CHECK_THROWS_AS(io.run_one(), std::bad_alloc);
    boost::asio::ip::tcp::socket second(io);
    second.connect(endpoint);
    constexpr int enoughHandlers = 100;
    for (int i = 0; i < enoughHandlers && handled < 2; ++i)
        io.run_one_for(10ms);
    CHECK(handled == 2);
}

TEST_SUITE_END();
