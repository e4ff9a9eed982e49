#include "daemon/relay_worker.h"
#include "support/no_free_descriptors.h"
#include "support/raw_caller.h"
#include "support/scripted_server.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// Records what a relay tells the entries of all instances.
struct RecordedEntryPort final : EntryPort {
    void returnResult(const InstanceName&, LegResult it) override { results.push_back(std::move(it)); }
    void announceServer(const ServerState& it) override { announced.push_back(it); }
    void announceCrash(const AnnounceCrash&) override { ++crashes; }

    std::vector<LegResult> results;
    std::vector<ServerState> announced;
    int crashes = 0;
};

/// A relay that owns one server, whose process runs.
struct RelayFixture {
    RelayFixture()
    {
        server.name = ServerName("s1");
        server.endpoint = standin.endpoint();
        server.service = ServiceName("quotedesk");
        server.zone = self.zone;
        server.slots = 2;
        server.connectionCap = 100;
    }

    void publish()
    {
        const auto map = std::make_shared<const ShardMap>(std::vector<Service>(), std::vector { server });
        worker->onTables(map, std::make_shared<const Ownership>(MembershipView({ self }), *map));
    }

    void sendLeg()
    {
        WorkOrder work;
        work.request = { ProcessLife(7), 1 };
        work.entry = self.name;
        work.service = server.service;
        work.deadline = clock->now() + 5s;
        work.legs.push_back({ LegNumber(0), AttemptNumber(0), ShardNumber(0), server.name });
        worker->onWork(work);
    }

    boost::asio::io_context io { 1 };
    ScriptedServer standin { io, { "HTTP/1.1 200 OK\r\nX-Index-Version: 3\r\nX-Partition-Epoch: 1\r\nContent-Length: 2\r\n\r\n{}" } };
    std::shared_ptr<SteadyClock> clock = std::make_shared<SteadyClock>();
    Instance self { InstanceName("self"), ProcessLife(1), {}, {}, ZoneName("a"), InstanceHealth::Alive };
    Server server;
    RecordedEntryPort entries;
    std::unique_ptr<BackendConnector> connector = makeHttpBackendConnector();
    std::shared_ptr<RelayWorker> worker = std::make_shared<RelayWorker>(
        RelayContext { io, clock, self.name, entries, *connector }, makeRelayEngine({}, self.name, std::make_unique<SeededRandom>(1)));
};

}

// Guards against a relay that reports a server as draining to all instances because its own process lacks descriptors.
TEST_CASE("A relay without free descriptors gives a leg to another relay and reports no server as draining" * doctest::test_suite("daemon"))
{
    RelayFixture fixture;
    {
        const NoFreeDescriptors none;
        fixture.publish();
        fixture.sendLeg();
        runUntil(fixture.io, [&] { return !fixture.entries.results.empty(); });
    }
    CHECK(toString(fixture.entries.results[0].outcome) == toString(LegOutcome::NotHeld));
    CHECK(fixture.entries.announced.empty());

    SUBCASE("Once a descriptor is free, the next leg runs")
    {
        runUntil(fixture.io, [&] { return fixture.standin.connections() > 1; });
        fixture.io.poll();
        fixture.sendLeg();
        runUntil(fixture.io, [&] { return fixture.entries.results.size() == 2; });
        CHECK(toString(fixture.entries.results[1].outcome) == toString(LegOutcome::Ok));
    }
    CHECK(fixture.entries.announced.empty());
    CHECK(fixture.entries.crashes == 0);
    fixture.worker->close();
    fixture.io.run_for(50ms);
}

}
