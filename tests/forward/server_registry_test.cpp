#include "forward/server_registry.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

ServerEntry entryOf(std::string name, std::uint64_t sequence = 1, std::int64_t startedAt = 1000)
{
    ServerEntry entry;
    entry.name = ServerName(std::move(name));
    entry.service = ServiceName("quotes");
    entry.endpoint = { "10.0.0.1", 80 };
    entry.sequence = sequence;
    entry.startedAt = startedAt;
    return entry;
}

}

TEST_CASE("the registry follows the list of servers" * doctest::test_suite("forward"))
{
    ServerRegistry registry;
    const TimePoint start { 10s };
    const ServerName name("s1");
    registry.replaceAll({ entryOf("s1"), entryOf("s2") }, start);
    REQUIRE(registry.servers().size() == 2);

    SUBCASE("a server whose entry goes while the store is well is dropped at once")
    {
        CHECK(registry.remove(name, start + 1s));
        CHECK(registry.servers().size() == 1);

        SUBCASE("an old report that arrives late does not bring it back")
        {
            CHECK_FALSE(registry.put(entryOf("s1"), start + 2s));
            CHECK(registry.servers().size() == 1);
        }
        SUBCASE("a new life under the same name does")
        {
            CHECK(registry.put(entryOf("s1", 0, 2000), start + 2s));
            CHECK(registry.servers().size() == 2);
        }
    }
    SUBCASE("a drain is not undone by an older report")
    {
        auto draining = entryOf("s1", 5);
        draining.isDraining = true;
        CHECK(registry.put(draining, start + 1s));
        CHECK_FALSE(registry.put(entryOf("s1", 4), start + 2s));
        CHECK(registry.servers().at(name).isDraining);
    }
    SUBCASE("an entry that lapsed while the store was away")
    {
        registry.recordStoreUnreachable();
        CHECK_FALSE(registry.remove(name, start + 5s));
        CHECK(registry.servers().contains(name));
        CHECK(registry.nextExpiry() == never);
        registry.recordStoreReachable(start + 9s);

        SUBCASE("stays when it is back in time")
        {
            registry.put(entryOf("s1", 9), start + 10s);
            CHECK_FALSE(registry.expire(start + 20s));
            CHECK(registry.servers().contains(name));
        }
        SUBCASE("is gone when it is still missing two seconds after the store's return")
        {
            CHECK_FALSE(registry.expire(start + 11s));
            CHECK(registry.nextExpiry() == start + 9s + ServerRegistry::returnGrace);
            CHECK(registry.expire(registry.nextExpiry()));
            CHECK_FALSE(registry.servers().contains(name));
        }
        SUBCASE("is kept on when the store goes away again")
        {
            registry.recordStoreUnreachable();
            CHECK_FALSE(registry.expire(start + 60s));
        }
    }
    SUBCASE("an entry that is missing from the first list after an outage counts as lapsed too")
    {
        registry.recordStoreUnreachable();
        registry.recordStoreReachable(start + 5s);
        registry.replaceAll({ entryOf("s2") }, start + 5s);
        CHECK(registry.servers().contains(name));
        CHECK(registry.expire(start + 8s));
        CHECK_FALSE(registry.servers().contains(name));
    }
    SUBCASE("a draining server that vanishes in an outage is not waited for")
    {
        auto draining = entryOf("s1", 5);
        draining.isDraining = true;
        registry.put(draining, start);
        registry.recordStoreUnreachable();
        CHECK(registry.remove(name, start + 1s));
    }
}

}
