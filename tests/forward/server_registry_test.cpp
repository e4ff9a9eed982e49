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

TEST_CASE("The registry follows the platform's list of servers" * doctest::test_suite("forward"))
{
    ServerRegistry registry(1s);
    const TimePoint start { 10s };
    const ServerName name("s1");
    registry.replaceAll({ entryOf("s1"), entryOf("s2") }, start);
    REQUIRE(registry.servers().size() == 2);

    SUBCASE("The registry removes a server at once when its entry disappears while the store is reachable")
    {
        CHECK(registry.remove(name, start + 1s));
        CHECK(registry.servers().size() == 1);

        SUBCASE("A late report of the old process does not restore the removed server")
        {
            CHECK_FALSE(registry.put(entryOf("s1")));
            CHECK(registry.servers().size() == 1);
        }
        SUBCASE("A report of a new process with the same name restores the server")
        {
            CHECK(registry.put(entryOf("s1", 0, 2000)));
            CHECK(registry.servers().size() == 2);
        }
    }
    SUBCASE("An older report does not end a server's drain")
    {
        auto draining = entryOf("s1", 5);
        draining.isDraining = true;
        CHECK(registry.put(draining));
        CHECK_FALSE(registry.put(entryOf("s1", 4)));
        CHECK(registry.servers().at(name).isDraining);
    }
    SUBCASE("The registry keeps a server whose entry expired while the store was unreachable")
    {
        registry.recordStoreUnreachable(start + 1s);
        CHECK_FALSE(registry.remove(name, start + 5s));
        CHECK(registry.servers().contains(name));
        CHECK(registry.nextExpiry() == never);
        registry.recordStoreReachable(start + 9s);

        SUBCASE("The server stays when its entry reappears within the grace period")
        {
            registry.put(entryOf("s1", 9));
            CHECK_FALSE(registry.expire(start + 20s));
            CHECK(registry.servers().contains(name));
        }
        SUBCASE("The server is removed when its entry is still missing at the end of the grace period")
        {
            CHECK_FALSE(registry.expire(start + 11s));
            CHECK(registry.nextExpiry() == start + 9s + ServerRegistry::returnGrace);
            CHECK(registry.expire(registry.nextExpiry()));
            CHECK_FALSE(registry.servers().contains(name));
        }
        SUBCASE("The server is kept when the store becomes unreachable again")
        {
            registry.recordStoreUnreachable(start + 10s);
            CHECK_FALSE(registry.expire(start + 60s));
        }
    }
    SUBCASE("The registry keeps a server missing from the first list after an outage for the grace period")
    {
        registry.recordStoreUnreachable(start + 1s);
        registry.recordStoreReachable(start + 5s);
        registry.replaceAll({ entryOf("s2") }, start + 5s);
        CHECK(registry.servers().contains(name));
        CHECK(registry.expire(start + 8s));
        CHECK_FALSE(registry.servers().contains(name));
    }
    // A lost packet fails one call. A server that left just then must not stay in use for the grace period.
    SUBCASE("A server that is removed around a call that failed is removed once a call has succeeded")
    {
        registry.recordStoreUnreachable(start + 1s);
        CHECK_FALSE(registry.remove(name, start + 1200ms));
        registry.recordStoreReachable(start + 1500ms);
        CHECK(registry.expire(start + 1500ms));
        CHECK_FALSE(registry.servers().contains(name));

        SUBCASE("An outage in which a server may have missed several renewals has a grace period, however short these are")
        {
            ServerRegistry frequent(200ms);
            frequent.replaceAll({ entryOf("s1") }, start);
            frequent.recordStoreUnreachable(start + 1s);
            frequent.remove(name, start + 1200ms);
            frequent.recordStoreReachable(start + 1500ms);
            CHECK_FALSE(frequent.expire(start + 1500ms));
        }
        SUBCASE("A short outage within the grace period of a long one does not end that period")
        {
            registry.recordStoreUnreachable(start + 2s);
            registry.recordStoreReachable(start + 9s);
            registry.recordStoreUnreachable(start + 10s);
            registry.recordStoreReachable(start + 10100ms);
            CHECK_FALSE(registry.remove(ServerName("s2"), start + 10200ms));
        }
    }
    SUBCASE("The registry removes a draining server at once, even while the store is unreachable")
    {
        auto draining = entryOf("s1", 5);
        draining.isDraining = true;
        registry.put(draining);
        registry.recordStoreUnreachable(start);
        CHECK(registry.remove(name, start + 1s));
    }
}

}
