#include "forward/server_pool.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

ServerEntry entryOf(const char* name, const char* zone)
{
    ServerEntry entry;
    entry.name = ServerName(name);
    entry.service = ServiceName("s");
    entry.zone = ZoneName(zone);
    return entry;
}

}

TEST_CASE("The explanation of a choice names the servers in order and why others are left out" * doctest::test_suite("forward"))
{
    ForwardSettings settings;
    settings.zone = ZoneName("a");
    SeededRandom random(1);
    ServerPool pool(settings, random);
    const TimePoint now { 100s };
    const ServiceName service("s");
    std::map<ServerName, ServerEntry> entries;
    for (const auto& it : { entryOf("a1", "a"), entryOf("a2", "a"), entryOf("b1", "b"), entryOf("c1", "c") })
        entries.emplace(it.name, it);
    entries.at(ServerName("c1")).isDraining = true;
    pool.update(entries, now);
    pool.setInstances(1);
    const ServicePolicy policy { 100 };
    const auto first = pool.pick(service, policy, { 20ms, now, nullptr, 160ms });
    REQUIRE(first);
    const std::vector<TrackedServerPtr> tried { first };
    const PickContext context { 20ms, now, &tried, 160ms };
    const auto choice = pool.explain(service, policy, context);
    REQUIRE(choice.servers.size() == 4);
    CHECK(choice.servers[0].server == pool.pick(service, policy, context)->entry.name);
    CHECK(choice.servers[0].expected == 20ms);
    CHECK(choice.servers[1].server == ServerName("b1"));
    CHECK(choice.servers[1].expected == 32ms);
    CHECK((choice.servers[2].exclusion == ServerExclusion::Tried));
    CHECK((choice.servers[3].exclusion == ServerExclusion::NoNewWork));
    CHECK(choice.leftShare == 0);
    SUBCASE("A server whose Retry-After is not over is limited")
    {
        ServerPool::recordRetryAfter(*first, 1s, now);
        const auto limited = pool.explain(service, policy, { 20ms, now, nullptr, 160ms });
        CHECK(limited.servers[2].server == first->entry.name);
        CHECK((limited.servers[2].exclusion == ServerExclusion::Limited));
    }
    SUBCASE("A service without servers has none")
    {
        CHECK(pool.explain(ServiceName("other"), policy, context) == ServerChoice {});
    }
}

}
