#include "routing/route_table.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

Route routeTo(std::string host, std::string prefix)
{
    Route route;
    route.name = prefix;
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    return route;
}

}

TEST_CASE("The route table finds the route of a request" * doctest::test_suite("routing"))
{
    RouteTable table;
    table.routes = { routeTo("a.example", "/parts/"), routeTo("a.example", "/parts/van/"), routeTo("b.example", "/parts/") };

    SUBCASE("The route table prefers the route with the longest matching prefix")
    {
        CHECK(table.find("a.example", "/parts/van/1") == &table.routes[1]);
        CHECK(table.find("a.example", "/parts/vans") == &table.routes[0]);
    }
    SUBCASE("The route table ignores the host's port and letter case")
    {
        CHECK(table.find("B.Example:8104", "/parts/1") == &table.routes[2]);
    }
    SUBCASE("The route table finds no route for another host or a path without a full prefix")
    {
        CHECK(table.find("c.example", "/parts/1") == nullptr);
        CHECK(table.find("a.example", "/parts") == nullptr);
        CHECK(table.find("a.example", "/other/parts/") == nullptr);
    }
}

TEST_CASE("Delegated legs run by the search route of their name, in whichever version, if its limits are the same" * doctest::test_suite("routing"))
{
    RouteTable table;
    table.version = 8;
    table.routes = { routeTo("a.example", "/order/"), routeTo("a.example", "/search/") };
    table.routes[1].shards = { ServiceName("new1"), ServiceName("new2") };
    table.routes[1].topRecords = 50;
    table.routes[1].maxRuns = 2;
    const SearchLimits same { 50, 2 };
    CHECK(table.findSearch("/search/", same) == &table.routes[1]);
    CHECK(table.findSearch("/order/", same) == nullptr);
    CHECK(table.findSearch("/removed/", same) == nullptr);

    SUBCASE("A delegate that would keep fewer records than the answer needs does not run them")
    {
        CHECK(table.findSearch("/search/", { 100, 2 }) == nullptr);
    }
    SUBCASE("A delegate that would send a leg to more servers than the delegating instance allows does not run them")
    {
        CHECK(table.findSearch("/search/", { 50, 1 }) == nullptr);
    }
}

TEST_CASE("A route rounds up the minimum number of shards in an answer" * doctest::test_suite("routing"))
{
    Route route;
    route.shards.assign(20, ServiceName("s"));
    route.minCoverage = Share { 0.89 };
    CHECK(route.minimumShards() == 18);
    route.minCoverage = Share { 0.75 };
    CHECK(route.minimumShards() == 15);
    route.minCoverage = Share { 0 };
    CHECK(route.minimumShards() == 1);
}

}
