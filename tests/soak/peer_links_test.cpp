#include "peer_links.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

namespace lycheefield::soak {

namespace {

std::string entryOf(const std::string& inner)
{
    return R"({"life":"7","inner":")" + inner + R"(","zone":"a"})";
}

std::string innerOf(const std::string& entry)
{
    return std::string(boost::json::parse(entry).at("inner").as_string());
}

}

TEST_CASE("Each gateway is told to connect to each other one through a link of its own" * doctest::test_suite("soak"))
{
    boost::asio::io_context io;
    PeerLinks links(io);
    const auto entry = entryOf("127.0.0.1:1001");
    const auto inner = innerOf(links.entryFor("g0", "g1", entry));
    CHECK(inner != "127.0.0.1:1001");

    SUBCASE("the same one each time")
    {
        CHECK(innerOf(links.entryFor("g0", "g1", entry)) == inner);
    }
    SUBCASE("another one for another reader")
    {
        CHECK(innerOf(links.entryFor("g2", "g1", entry)) != inner);
    }
    SUBCASE("another one for another process of the same gateway")
    {
        CHECK(innerOf(links.entryFor("g0", "g1", entryOf("127.0.0.1:1002"))) != inner);
    }
    SUBCASE("but reads its own entry as it wrote it")
    {
        CHECK(links.entryFor("g1", "g1", entry) == entry);
    }
    SUBCASE("and the rest of the entry is as it was written")
    {
        CHECK(boost::json::parse(links.entryFor("g0", "g1", entry)).at("life").as_string() == "7");
    }
}

}
