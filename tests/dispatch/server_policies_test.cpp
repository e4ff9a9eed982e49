#include "dispatch/relay_fixture.h"

#include "dispatch/concurrency_limit.h"
#include "dispatch/connection_pool.h"
#include "dispatch/crash_table.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

/// A directory in which every server exists and this relay owns those whose names begin with "s".
class TestServerDirectory final : public ServerDirectory {
public:
    bool exists(const ServerName&) const override { return true; }
    bool owns(const ServerName& name) const override { return name.value().front() == 's'; }
};

}

TEST_CASE("A relay limits its connections to a server" * doctest::test_suite("dispatch"))
{
    SUBCASE("The connections of four holders and the reserved connections fit under every cap")
    {
        const RelaySettings settings;
        const auto twoViews = Ownership().holdersOfServer();
        CHECK(twoViews == 4);
        for (std::uint32_t cap = 0; cap < 300; ++cap) {
            CAPTURE(cap);
            const auto work = workConnectionLimit(cap, twoViews, settings);
            const auto held = work > 0 ? work + 1 : 0;
            CHECK((work == 0 || 4 * held + settings.reservedConnections <= cap));
        }
        CHECK(workConnectionLimit(25, twoViews, settings) == 4);
        CHECK(workConnectionLimit(110, twoViews, settings) == 26);
    }
    SUBCASE("With direct routing the connections of all instances and the reserved connections fit under the cap")
    {
        const RelaySettings settings;
        for (std::uint32_t holders = 1; holders < 30; ++holders) {
            CAPTURE(holders);
            const auto work = workConnectionLimit(25, holders, settings);
            const auto held = work > 0 ? work + 1 : 0;
            CHECK(holders * held + settings.reservedConnections <= 25);
        }
        CHECK(workConnectionLimit(25, 1, settings) == 4);
        CHECK(workConnectionLimit(25, 9, settings) == 1);
    }
    SUBCASE("The pool waits longer after each refused connection before it opens the next")
    {
        ConnectionCounters counters;
        ConnectionPool pool(ServerName("s0"), counters);
        pool.setLimit(4);
        TimePoint now { Duration(1) };
        Duration lastWait {};
        for (int i = 0; i < 5; ++i) {
            RelayActions actions;
            pool.resize(2, now, actions);
            REQUIRE_FALSE(actions.empty());
            for (const auto& it : actions)
                CHECK(pool.onLost(std::get<OpenConnection>(it).connection, now));
            const auto wait = pool.retryAt() - now;
            CHECK(wait > lastWait);
            lastWait = wait;
            now = pool.retryAt();
        }
    }
}

TEST_CASE("Under direct routing a relay limits its connections by the number of live instances" * doctest::test_suite("dispatch"))
{
    RelayFixture relay;
    relay.addServer("s0");
    std::vector<std::string> instances { "self" };
    for (int i = 1; i < 9; ++i)
        instances.push_back("i" + std::to_string(i));
    relay.publish(instances, true);
    const auto sendTen = [&](std::uint64_t firstId) {
        for (std::uint64_t i = 0; i < 10; ++i)
            relay.send(relay.order(firstId + i, "s0"));
    };
    sendTen(0);
    CHECK(relay.take<OpenConnection>().size() == 1);
    SUBCASE("The relay opens more connections when the other instances are removed")
    {
        relay.publish({ "self" }, true);
        sendTen(10);
        CHECK_FALSE(relay.take<OpenConnection>().empty());
    }
}

TEST_CASE("The relay sends no new work to a draining server" * doctest::test_suite("dispatch"))
{
    RelayFixture relay;
    relay.addServer("s0");
    relay.addServer("s1", 1);
    relay.publish({ "self" });
    relay.connectAll();
    for (std::uint64_t i = 0; i < 3; ++i)
        relay.send(relay.order(i, "s0"));
    const auto running = relay.take<SendLeg>();
    REQUIRE(running.size() == 2);

    SUBCASE("The server counts as draining from the first response with the drain mark")
    {
        relay.respond(running[0], LegOutcome::Ok, true);
    }
    SUBCASE("The server counts as draining from a health report when another server stays in use")
    {
        relay.engine().onHealth(ServerName("s0"), { 0, true, {} }, relay.now(), relay.actions());
    }
    SUBCASE("The server counts as draining once the catalog lists the server as leaving")
    {
        relay.addServer("s0", 0, true);
        relay.publish({ "self" });
    }
    SUBCASE("The server counts as draining once connections are refused and none is open")
    {
        relay.dropConnection(running[0]);
        relay.dropConnection(running[1]);
        for (const auto& it : relay.take<OpenConnection>())
            relay.engine().onConnectionLost(it.server, it.connection, false, relay.now(), relay.actions());
    }
    const auto announced = relay.take<AnnounceServerState>();
    REQUIRE(announced.size() == 1);
    CHECK(announced[0].state.draining);
    std::size_t notRun = 0;
    for (const auto& it : relay.take<ReturnResult>())
        notRun += it.result.outcome == LegOutcome::Refused ? 1 : 0;
    CHECK(notRun == 1);
    relay.send(relay.order(9, "s0"));
    CHECK(relay.take<SendLeg>().empty());
    REQUIRE(relay.take<ReturnResult>().size() == 1);
}

// Guards against a relay that takes a shortage of its own process for a failure of its servers.
TEST_CASE("A connection that the relay's process lacks the resources to open says nothing about the server" * doctest::test_suite("dispatch"))
{
    RelayFixture relay;
    relay.addServer("s0");
    relay.publish({ "self" });
    const auto failAll = [&] {
        const auto opened = relay.take<OpenConnection>();
        for (const auto& it : opened)
            relay.engine().onConnectionNotOpened(it.server, it.connection, relay.now(), relay.actions());
        return opened.size();
    };

    SUBCASE("Attempts go on at the same pace, one at a time")
    {
        CHECK(failAll() == RelayFixture::slots);
        for (int i = 0; i < 100; ++i) {
            relay.run(50ms);
            CHECK(failAll() == 1);
        }
        CHECK(relay.take<AnnounceServerState>().empty());
    }
    SUBCASE("Legs go to another relay, and run here once a connection is open")
    {
        relay.send(relay.order(1, "s0"));
        CHECK(relay.take<ReturnResult>().empty());
        failAll();
        relay.send(relay.order(2, "s0"));
        const auto returned = relay.take<ReturnResult>();
        REQUIRE(returned.size() == 2);
        for (const auto& it : returned)
            CHECK(outcomeOf(it) == "not-held");
        relay.run(50ms);
        relay.connectAll();
        relay.send(relay.order(3, "s0"));
        CHECK(relay.take<SendLeg>().size() == 1);
        CHECK(relay.take<AnnounceServerState>().empty());
    }
    SUBCASE("Legs wait for the connections that are open")
    {
        const auto opened = relay.take<OpenConnection>();
        REQUIRE(opened.size() == 2);
        relay.engine().onConnected(opened[0].server, opened[0].connection, relay.now(), relay.actions());
        relay.engine().onConnectionNotOpened(opened[1].server, opened[1].connection, relay.now(), relay.actions());
        for (std::uint64_t i = 0; i < 2; ++i)
            relay.send(relay.order(i, "s0"));
        const auto sent = relay.take<SendLeg>();
        REQUIRE(sent.size() == 1);
        relay.respond(sent[0]);
        CHECK(relay.take<SendLeg>().size() == 1);
    }
    SUBCASE("A server that refuses connections afterwards counts as draining")
    {
        failAll();
        relay.run(50ms);
        for (const auto& it : relay.take<OpenConnection>())
            relay.engine().onConnectionLost(it.server, it.connection, false, relay.now(), relay.actions());
        CHECK(relay.take<AnnounceServerState>().size() == 1);
    }
}

TEST_CASE("The relay takes at most half of the servers out of use on health reports alone" * doctest::test_suite("dispatch"))
{
    RelayFixture relay;
    for (std::uint32_t i = 0; i < 4; ++i)
        relay.addServer("s" + std::to_string(i), i);
    relay.publish({ "self" });
    relay.connectAll();
    for (std::uint32_t i = 0; i < 4; ++i)
        relay.engine().onHealth(ServerName("s" + std::to_string(i)), { 0, true, {} }, relay.now(), relay.actions());
    CHECK(relay.take<AnnounceServerState>().size() == 2);
}

TEST_CASE("The relay ejects failing servers but keeps half of them in use" * doctest::test_suite("dispatch"))
{
    RelayFixture relay;
    for (std::uint32_t i = 0; i < 4; ++i)
        relay.addServer("s" + std::to_string(i), i);
    relay.publish({ "self" });
    relay.connectAll();
    std::uint64_t request = 0;
    const auto failAll = [&](bool sameContent) {
        for (std::uint64_t i = 0; i < 40; ++i) {
            auto order = relay.order(++request, "s" + std::to_string(i % 4));
            if (sameContent)
                order.fingerprint = Fingerprint(1);
            relay.send(order);
            for (const auto& it : relay.take<SendLeg>())
                relay.respond(it, LegOutcome::Failed);
        }
    };
    const auto ejected = [&] {
        std::size_t n = 0;
        for (const auto& it : relay.engine().states())
            n += it.ejected ? 1 : 0;
        return n;
    };
    SUBCASE("The relay ejects no server for failures of a single content")
    {
        failAll(true);
        CHECK(ejected() == 0);
    }
    SUBCASE("The relay probes an ejected server, after a longer time at each consecutive ejection")
    {
        failAll(false);
        CHECK(ejected() == 2);
        relay.run(RelaySettings {}.ejectionTime);
        CHECK(ejected() == 0);
        failAll(false);
        CHECK(ejected() == 2);
        relay.run(RelaySettings {}.ejectionTime);
        CHECK(ejected() == 2);
        relay.run(RelaySettings {}.ejectionTime);
        CHECK(ejected() == 0);
    }
}

TEST_CASE("The concurrency limit halves when the server sheds a leg and rises slowly with successes" * doctest::test_suite("dispatch"))
{
    ConcurrencyLimit limit(4);
    TimePoint now { Duration(1) };
    limit.onShed(50ms, now);
    CHECK(limit.at(now) == 0);
    CHECK((limit.nextChange(now) == now + 50ms));
    now += 50ms;
    CHECK(limit.at(now) == 2);
    int successes = 0;
    for (; limit.at(now) < 4 && successes < 1000; ++successes)
        limit.onSuccess();
    CHECK(successes > 100);
    CHECK(limit.at(now) == 4);
}

TEST_CASE("After a shed leg the relay sends one leg at a time to a server of two slots" * doctest::test_suite("dispatch"))
{
    RelayFixture relay;
    relay.addServer("s0");
    relay.publish({ "self" });
    relay.connectAll();
    for (std::uint64_t i = 0; i < 6; ++i)
        relay.send(relay.order(i, "s0"));
    auto running = relay.take<SendLeg>();
    REQUIRE(running.size() == 2);
    relay.respond(running[0], LegOutcome::Refused);
    relay.respond(running[1]);
    CHECK(relay.take<SendLeg>().empty());
    relay.run(100ms);
    CHECK(relay.take<SendLeg>().size() == 1);
}

TEST_CASE("The relay refuses a leg that cannot finish before its deadline, without sending the leg" * doctest::test_suite("dispatch"))
{
    RelayFixture relay;
    relay.addServer("s0");
    relay.publish({ "self" });
    relay.connectAll();
    for (std::uint64_t i = 0; i < 10; ++i) {
        relay.send(relay.order(i, "s0"));
        relay.advance(20ms);
        for (const auto& it : relay.take<SendLeg>())
            relay.respond(it);
    }
    for (std::uint64_t i = 10; i < 20; ++i)
        relay.send(relay.order(i, "s0"));
    relay.take<ReturnResult>();
    relay.send(relay.order(50, "s0", Priority::Batch, 60ms));
    const auto refused = relay.take<ReturnResult>();
    REQUIRE(refused.size() == 1);
    CHECK(outcomeOf(refused[0]) == "expired");
    CHECK(refused[0].result.retryAfter >= 60ms);
    CHECK(relay.engine().counters().expired == 1);

    // A van request with the same time to its deadline goes before the queued legs, so it can finish in time and is not refused.
    relay.send(relay.order(51, "s0", Priority::Van, 60ms));
    CHECK(relay.take<ReturnResult>().empty());
}

TEST_CASE("The crash table collects evidence against contents" * doctest::test_suite("dispatch"))
{
    const RelaySettings settings;
    const TestServerDirectory servers;
    CrashTable table(settings, servers);
    TimePoint now { Duration(1) };
    RelayActions actions;
    const CrashLocation location { ServerName("s0"), ShardNumber(0) };

    SUBCASE("The crash table keeps a bounded number of records and evicts quarantined contents last")
    {
        table.onCrash(Fingerprint(1), location, CrashId(1), true, now, actions);
        for (std::uint64_t i = 2; i < 5000; ++i) {
            now += 1ms;
            table.onCrash(Fingerprint(i), location, CrashId(i), false, now, actions);
        }
        CHECK(table.size() <= CrashTable::maxRecords);
        CHECK((table.admit(Fingerprint(1), location, now, actions) == ContentAdmission::Refuse));
    }
    SUBCASE("The crash table drops its evidence when only a connection broke")
    {
        table.onCrash(Fingerprint(1), location, CrashId(1), false, now, actions);
        CHECK(table.isBlocked(Fingerprint(1), now));
        table.retractCrash(CrashId(1), actions);
        CHECK_FALSE(table.isBlocked(Fingerprint(1), now));
    }
    SUBCASE("The crash table leaves the probe to the owner of the crashed server whose name sorts first")
    {
        const CrashLocation elsewhere { ServerName("a0"), ShardNumber(1) };
        table.onCrash(Fingerprint(1), location, CrashId(1), false, now, actions);
        table.onAnnouncement({ Fingerprint(1), 1, Duration {}, elsewhere }, now);
        now += 1s;
        CHECK((table.admit(Fingerprint(1), location, now, actions) == ContentAdmission::Refuse));
        table.onAnnouncement({ Fingerprint(1), 0, Duration {}, {} }, now);
        CHECK((table.admit(Fingerprint(1), location, now, actions) == ContentAdmission::Run));
    }
    SUBCASE("The crash table clears content that ran beside the quarantined content")
    {
        table.onCrash(Fingerprint(1), location, CrashId(1), false, now, actions);
        table.onCrash(Fingerprint(2), location, CrashId(1), false, now, actions);
        now += 1s;
        REQUIRE((table.admit(Fingerprint(1), location, now, actions) == ContentAdmission::RunAsProbe));
        CHECK((table.admit(Fingerprint(1), location, now, actions) == ContentAdmission::Refuse));
        table.onCrash(Fingerprint(1), location, CrashId(2), true, now, actions);
        CHECK((table.admit(Fingerprint(1), location, now, actions) == ContentAdmission::Refuse));
        CHECK((table.admit(Fingerprint(2), location, now, actions) == ContentAdmission::Run));
    }
    SUBCASE("The crash table extends a quarantine while the content is sent and ends the quarantine afterwards")
    {
        table.onCrash(Fingerprint(1), location, CrashId(1), true, now, actions);
        for (int i = 0; i < 20; ++i) {
            now += 1min;
            CHECK((table.admit(Fingerprint(1), location, now, actions) == ContentAdmission::Refuse));
        }
        now += settings.quarantineTime;
        CHECK((table.admit(Fingerprint(1), location, now, actions) == ContentAdmission::Run));
    }
}

}
