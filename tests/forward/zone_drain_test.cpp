#include "forward_test_bed.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

const ZoneName zoneB("b");

/// A fleet's servers in three zones, each shard with one server in each, and an instance in zone a.
struct DrainFixture {
    explicit DrainFixture(int shardCount = 6, std::uint32_t queue = 12)
        : testBed(settingsInZoneA())
    {
        for (int i = 0; i < shardCount; ++i) {
            shards.push_back("shard" + std::to_string(i));
            for (const std::string zone : { "a", "b", "c" }) {
                ServerModel model;
                model.queue = queue;
                testBed.addServer(shards.back(), shards.back() + "-" + zone, zone, model);
            }
        }
    }

    std::size_t arrivalsInB() const
    {
        std::size_t n = 0;
        for (const auto& it : shards)
            n += testBed.arrivals(it + "-b");
        return n;
    }
    std::vector<RequestNumber> startMany(const Route& route, Duration period, Duration length)
    {
        std::vector<RequestNumber> numbers;
        for (Duration at {}; at < length; at += period) {
            numbers.push_back(testBed.start(route));
            testBed.run(period);
        }
        return numbers;
    }
    /// Returns how many of the requests got all parts within the target latency.
    int completeInTime(const std::vector<RequestNumber>& numbers, const Route& route) const
    {
        return static_cast<int>(std::count_if(numbers.begin(), numbers.end(), [&](RequestNumber it) {
            const auto& outcome = testBed.outcomes().at(it);
            return outcome.answer.kind == ForwardAnswerKind::Search && outcome.answer.missingShards == 0 && outcome.took <= route.targetLatency;
        }));
    }

    std::vector<std::string> shards;
    ForwardTestBed testBed;
};

}

TEST_CASE("Nothing is sent to the servers of a drained zone until its drain ends" * doctest::test_suite("forward"))
{
    DrainFixture fixture;
    auto& testBed = fixture.testBed;
    const auto route = testBed.searchRoute(fixture.shards);
    // The other zones are slow and crowded, so that most legs would go to zone b.
    for (const auto& it : fixture.shards) {
        testBed.model(it + "-a").work = 60ms;
        testBed.model(it + "-c").work = 60ms;
    }
    fixture.startMany(route, 20ms, 1s);
    REQUIRE(fixture.arrivalsInB() > 0);
    testBed.drainZones({ zoneB });
    const auto before = fixture.arrivalsInB();

    SUBCASE("Attempts in flight finish, new ones, hedges and retries go elsewhere")
    {
        const auto hedges = testBed.engine().counters().hedges;
        const auto retries = testBed.engine().counters().retries;
        testBed.run(1s);
        CHECK(testBed.cancelledRequests() == 0);
        testBed.model("shard0-a").isSilent = true;
        testBed.model("shard1-c").isSilent = true;
        const auto numbers = fixture.startMany(route, 40ms, 2s);
        for (const auto& it : testBed.serverRequests())
            testBed.respond(it.id, ServerResponseKind::Failed);
        testBed.run(4s);
        CHECK(fixture.arrivalsInB() == before);
        CHECK(std::all_of(numbers.begin(), numbers.end(), [&](const auto it) { return testBed.answerTo(it); }));
        CHECK(testBed.engine().counters().hedges > hedges);
        CHECK(testBed.engine().counters().retries > retries);
    }
    SUBCASE("Servers that are listed later, or that restart, get nothing either")
    {
        testBed.addServer("shard0", "shard0-b2", "b");
        testBed.restartServer("shard1-b");
        fixture.startMany(route, 40ms, 1s);
        CHECK(testBed.arrivals("shard0-b2") == 0);
        CHECK(testBed.arrivals("shard1-b") == 0);
    }
    SUBCASE("After the drain the zone gets work again")
    {
        testBed.run(1s);
        testBed.drainZones({});
        fixture.startMany(route, 20ms, 1s);
        CHECK(fixture.arrivalsInB() > before);
    }
    SUBCASE("If all zones are drained, requests are refused as not run at once")
    {
        testBed.run(4s);
        testBed.drainZones({ ZoneName("a"), zoneB, ZoneName("c") });
        const auto number = testBed.start(route);
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.answerTo(number)->kind == ForwardAnswerKind::NotRun);
        CHECK(testBed.answerTo(number)->retryAfter > Duration {});
        CHECK(testBed.serverRequests().empty());
    }
}

TEST_CASE("Servers of a drained zone are not checked, whether an attempt crashed there or was cancelled" * doctest::test_suite("forward"))
{
    ForwardEngine engine(settingsInZoneA(), std::make_unique<SeededRandom>(1));
    const TimePoint now { 100s };
    ServerEntry entry;
    entry.name = ServerName("s-b");
    entry.service = ServiceName("ledger");
    entry.zone = zoneB;
    engine.setInstances({}, now);
    engine.onServers({ { entry.name, entry } }, now);
    const auto table = std::make_shared<RouteTable>();
    Route route;
    route.isIdempotent = true;
    route.maxRuns = 1;
    route.timeout = 3s;
    route.targetLatency = 500ms;
    route.targets = { { entry.service, 1 } };
    table->routes = { route };
    table->services[entry.service] = { 100 };
    ForwardActions actions;
    const auto send = [&](std::uint64_t number) {
        engine.start({ RequestNumber(number), table, &table->routes.front(), std::make_shared<const HttpRequest>(), "id", now + 2s, now, never, {}, true, {}, Fingerprint(number) }, now, actions);
        return std::get<SendServerRequest>(actions.back()).id;
    };
    const auto first = send(1);
    send(2);
    engine.onServerRequestFailed(first, ServerRequestFailure::Broken, now, actions);
    engine.cancel(RequestNumber(2), now, actions);
    const auto countChecks = [&] {
        actions.clear();
        engine.onTimer(now + 1s, actions);
        return std::count_if(actions.begin(), actions.end(), [](const auto& it) { return std::holds_alternative<CheckServer>(it); });
    };

    SUBCASE("In a zone that is free the server is checked")
    {
        CHECK(countChecks() > 0);
    }
    SUBCASE("In a drained zone it is not")
    {
        engine.setDrainedZones({ zoneB });
        CHECK(countChecks() == 0);
        CHECK(engine.nextWake() == never);
    }
}

TEST_CASE("Legs are not delegated into a drained zone" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    std::vector<std::string> names;
    for (int i = 0; i < 10; ++i) {
        names.push_back("shard" + std::to_string(i));
        testBed.addServer(names.back(), names.back() + "-b", "b");
        testBed.addServer(names.back(), names.back() + "-c", "c");
    }
    DelegateChooser chooser(InstanceName("a1"), ZoneName("a"));
    Instance inB;
    inB.name = InstanceName("b1");
    inB.zone = zoneB;
    Instance inC;
    inC.name = InstanceName("c1");
    inC.zone = ZoneName("c");
    chooser.onPeers({ inB, inC });
    testBed.engine().setDelegateChooser(chooser);
    const auto route = testBed.searchRoute(names);

    SUBCASE("All legs are delegated to the zone that is left")
    {
        testBed.drainZones({ zoneB });
        for (int i = 0; i < 8; ++i)
            testBed.start(route);
        REQUIRE(testBed.delegations().size() == 8);
        for (const auto& it : testBed.delegations())
            CHECK(it.instance == inC.name);
    }
    SUBCASE("Legs that a delegate there gives back, because it knew of the drain first, go to the zone that is left once it is known here")
    {
        while (testBed.delegations().empty() || testBed.delegations().back().instance != inB.name)
            testBed.start(route);
        const auto delegation = testBed.delegations().back();
        testBed.drainZones({ zoneB });
        ForwardAnswer nothing;
        nothing.kind = ForwardAnswerKind::NotRun;
        nothing.runs.assign(delegation.shards.size(), 0);
        testBed.answerDelegation(delegation.id, nothing);
        CHECK(testBed.serverRequests().size() == names.size());
        for (const auto& it : testBed.serverRequests())
            CHECK(it.server.zone == inC.zone);
    }
}

TEST_CASE("A delegate in a drained zone uses the servers of other zones, and gives back the legs that have none" * doctest::test_suite("forward"))
{
    auto settings = settingsInZoneA();
    settings.zone = zoneB;
    ForwardTestBed testBed(settings);
    testBed.addServer("both", "both-b", "b");
    testBed.addServer("both", "both-c", "c");
    testBed.addServer("only", "only-b", "b");
    auto table = std::make_shared<RouteTable>();
    table->routes = { testBed.searchRoute({ "both", "only" }) };
    const ForwardRequest request { RequestNumber(900), table, &table->routes.front(), std::make_shared<const HttpRequest>(), "id", testBed.now() + 3s, testBed.now(),
        testBed.now() + 180ms, { ServiceName("both"), ServiceName("only") }, true, {}, Fingerprint(1) };
    testBed.drainZones({ zoneB });
    testBed.startRequest(request);
    testBed.run(60ms);
    REQUIRE(testBed.answerTo(request.number));
    CHECK(testBed.answerTo(request.number)->coveredShards == std::vector<std::uint32_t> { 0 });
    CHECK(testBed.answerTo(request.number)->runs == std::vector<std::uint32_t> { 1, 0 });
    CHECK(testBed.arrivals("both-b") + testBed.arrivals("only-b") == 0);
}

TEST_CASE("The remaining zones take the load of a drained one, and less urgent searches give way" * doctest::test_suite("forward"))
{
    // Servers that refuse early, so that legs wait here in the order of their priority.
    DrainFixture fixture(12, 1);
    auto& testBed = fixture.testBed;
    // Two slots for 20 ms: one server serves 100 legs a second. The load of 204 fits the three zones, but not quite the two that remain.
    testBed.setTeam(TeamName("quotes"));
    auto urgent = testBed.searchRoute(fixture.shards);
    auto other = urgent;
    other.name = "other";
    other.rank = 5;
    constexpr Duration period = 9800us;
    std::vector<RequestNumber> urgents;
    std::vector<RequestNumber> others;
    const auto runLoad = [&](Duration length) {
        for (Duration at {}; at < length; at += period) {
            urgents.push_back(testBed.start(urgent));
            testBed.run(period / 2);
            others.push_back(testBed.start(other));
            testBed.run(period / 2);
        }
    };
    runLoad(2s);
    testBed.drainZones({ zoneB });
    const auto before = fixture.arrivalsInB();
    runLoad(6s);
    CHECK(fixture.arrivalsInB() == before);
    testBed.run(4s);
    CAPTURE(testBed.engine().counters().shedLegs);
    const auto urgentInTime = fixture.completeInTime(urgents, urgent);
    const auto otherInTime = fixture.completeInTime(others, other);
    CAPTURE(otherInTime);
    CHECK(urgentInTime >= 0.9 * static_cast<double>(urgents.size()));
    CHECK(urgentInTime > otherInTime);
    // Every caller has an answer, and nearly all of them in time.
    REQUIRE(testBed.outcomes().size() == urgents.size() + others.size());
    const auto late = std::count_if(testBed.outcomes().begin(), testBed.outcomes().end(), [&](const auto& it) { return it.second.took > urgent.targetLatency; });
    CHECK(late <= 0.05 * static_cast<double>(testBed.outcomes().size()));
}

}
