#include "forward_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

/// Six shards with servers in this instance's zone, and four with servers only in zone b, where
/// another instance can be a delegate.
struct DelegatedSearchFixture {
    explicit DelegatedSearchFixture(const ForwardSettings& used = settingsInZoneA())
        : testBed(used)
        , chooser(InstanceName("a1"), ZoneName("a"))
    {
        for (int i = 0; i < 10; ++i) {
            names.push_back("shard" + std::to_string(i));
            testBed.addServer(names.back(), names.back() + "-x", i < 6 ? "a" : "b");
            testBed.addServer(names.back(), names.back() + "-y", "b");
        }
        Instance other;
        other.name = InstanceName("b1");
        other.zone = ZoneName("b");
        chooser.onPeers({ other });
        testBed.engine().setDelegateChooser(chooser);
    }

    /// Returns a delegate's answer with the first n of its four shards.
    ForwardAnswer parts(std::uint32_t n) const
    {
        ForwardAnswer answer;
        answer.kind = ForwardAnswerKind::Search;
        for (std::uint32_t i = 0; i < n; ++i) {
            answer.signatures.push_back("b" + std::to_string(i));
            answer.coveredShards.push_back(i);
        }
        answer.message.body = std::string(16, 'z');
        answer.runs = { 1, 1, 1, 1 };
        return answer;
    }

    std::vector<std::string> names;
    ForwardTestBed testBed;
    DelegateChooser chooser;
};

}

TEST_CASE("The engine delegates shards without a server in its zone to another instance" * doctest::test_suite("forward"))
{
    DelegatedSearchFixture search;
    auto& testBed = search.testBed;
    const auto number = testBed.start(testBed.searchRoute(search.names));
    REQUIRE(testBed.delegations().size() == 1);
    const auto delegation = testBed.delegations().front();
    CHECK(delegation.instance == InstanceName("b1"));
    CHECK(delegation.shards == std::vector<ServiceName> { ServiceName("shard6"), ServiceName("shard7"), ServiceName("shard8"), ServiceName("shard9") });
    CHECK(testBed.serverRequests().size() == 6);

    SUBCASE("The engine merges the delegate's parts with its own into one answer")
    {
        testBed.run(50ms);
        CHECK_FALSE(testBed.answerTo(number));
        testBed.answerDelegation(delegation.id, search.parts(4));
        const auto* answer = testBed.answerTo(number);
        REQUIRE(answer);
        CHECK(answer->missingShards == 0);
        CHECK(answer->signatures.size() == 10);
        CHECK(answer->message.body.substr(0, 16) == std::string(16, 'z'));
        CHECK(testBed.cancelledDelegations() == 0);
    }
    SUBCASE("The engine includes delegated parts that arrive slightly late, but before the search is answered")
    {
        testBed.model("shard0-x").isSilent = true;
        testBed.model("shard0-y").isSilent = true;
        testBed.run(delegation.answerBy - testBed.now() + 5ms);
        CHECK_FALSE(testBed.answerTo(number));
        testBed.answerDelegation(delegation.id, search.parts(4));
        testBed.run(20ms);
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.answerTo(number)->missingShards == 1);
        CHECK(testBed.outcomes().at(number).took < 200ms);
    }
    SUBCASE("The engine sends a leg that the delegate did not complete as an extra attempt")
    {
        testBed.run(50ms);
        testBed.answerDelegation(delegation.id, search.parts(3));
        CHECK(testBed.serverRequests().size() == 1);
        testBed.run(50ms);
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.answerTo(number)->missingShards == 0);
        CHECK(testBed.engine().counters().retries == 1);
    }
    SUBCASE("The engine does not send a leg that the delegate ran on the maximum number of servers")
    {
        testBed.run(50ms);
        auto ranTwice = search.parts(3);
        ranTwice.runs[3] = 2;
        testBed.answerDelegation(delegation.id, ranTwice);
        CHECK(testBed.serverRequests().empty());
    }
    SUBCASE("When the delegation fails after legs may have run, the engine sends each leg to a second server")
    {
        testBed.run(50ms);
        testBed.failDelegation(delegation.id, true);
        CHECK(testBed.serverRequests().size() == 4);
        CHECK(testBed.engine().counters().retries == 4);
        testBed.run(50ms);
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.answerTo(number)->missingShards == 0);
    }
    SUBCASE("The engine does not send legs of a failed delegation for which it granted extra attempts")
    {
        testBed.run(50ms);
        testBed.requestExtraAttempts(delegation.id, { 0, 1, 2, 3 });
        CHECK(testBed.grantedDelegations() == std::vector<DelegationId> { delegation.id });
        testBed.failDelegation(delegation.id, true);
        CHECK(testBed.serverRequests().empty());
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.answerTo(number)->kind == ForwardAnswerKind::Failed);
    }
    SUBCASE("The engine takes back the legs of a silent delegate if the budget allows extra attempts")
    {
        testBed.run(100ms);
        CHECK(testBed.reportDelegationSilent(delegation.id));
        CHECK(testBed.serverRequests().size() == 4);
    }
    SUBCASE("The engine grants no extra attempts after it took back the legs")
    {
        testBed.run(50ms);
        testBed.failDelegation(delegation.id, true);
        testBed.requestExtraAttempts(delegation.id, { 0 });
        CHECK(testBed.grantedDelegations().empty());
    }
    SUBCASE("When the delegate did not accept the delegation, the engine sends its legs as first attempts")
    {
        testBed.failDelegation(delegation.id, false);
        CHECK(testBed.serverRequests().size() == 10);
        CHECK(testBed.engine().counters().retries == 0);
        testBed.run(60ms);
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.answerTo(number)->missingShards == 0);
    }
    SUBCASE("The engine cancels the delegation when the caller disconnects")
    {
        testBed.disconnect(number);
        CHECK(testBed.cancelledDelegations() == 1);
        testBed.answerDelegation(delegation.id, search.parts(4));
        CHECK(testBed.outcomes().empty());
    }
    SUBCASE("The engine rejects a delegate's answer that names a part twice or one that was not delegated")
    {
        auto invalid = search.parts(4);
        invalid.coveredShards = { 77, 0, 0, 1 };
        testBed.run(50ms);
        testBed.answerDelegation(delegation.id, invalid);
        CHECK(testBed.serverRequests().size() == 4);
        testBed.run(50ms);
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.answerTo(number)->message.body.substr(0, 16) == std::string(16, 'r'));
    }
}

TEST_CASE("The engine waits for a silent delegate while the budget allows no extra attempt" * doctest::test_suite("forward"))
{
    auto settings = settingsInZoneA();
    settings.retrySlack = 0;
    DelegatedSearchFixture search(settings);
    auto& testBed = search.testBed;
    const auto number = testBed.start(testBed.searchRoute(search.names));
    const auto delegation = testBed.delegations().at(0);
    testBed.run(100ms);
    CHECK_FALSE(testBed.reportDelegationSilent(delegation.id));
    CHECK(testBed.serverRequests().empty());
    testBed.answerDelegation(delegation.id, search.parts(4));
    REQUIRE(testBed.answerTo(number));
    CHECK(testBed.answerTo(number)->missingShards == 0);
}

TEST_CASE("The engine sends the legs that another instance delegated to it" * doctest::test_suite("forward"))
{
    DelegatedSearchFixture search;
    auto& testBed = search.testBed;
    auto table = std::make_shared<RouteTable>();
    table->routes = { testBed.searchRoute(search.names) };
    for (const auto& it : search.names)
        table->services[ServiceName(it)] = { 26 };
    ForwardRequest request { RequestNumber(900), table, &table->routes.front(), std::make_shared<const HttpRequest>(), "id", testBed.now() + 3s, testBed.now(),
        testBed.now() + 180ms, { ServiceName("shard6"), ServiceName("shard7") }, true, {}, Fingerprint(1) };
    testBed.startRequest(request);
    CHECK(testBed.delegations().empty());
    CHECK(testBed.serverRequests().size() == 2);

    SUBCASE("A delegate whose configuration names other shards sends the legs to the shards that the delegating instance names")
    {
        auto newerTable = std::make_shared<RouteTable>(*table);
        newerTable->version = table->version + 1;
        newerTable->routes.front().shards = { ServiceName("shard8"), ServiceName("shard9") };
        auto older = request;
        older.number = RequestNumber(901);
        older.table = newerTable;
        older.route = &newerTable->routes.front();
        testBed.startRequest(older);
        for (const auto& it : testBed.serverRequests())
            CHECK((it.server.service == ServiceName("shard6") || it.server.service == ServiceName("shard7")));
        testBed.run(60ms);
        REQUIRE(testBed.answerTo(older.number));
        CHECK(testBed.answerTo(older.number)->signatures.size() == 2);
        CHECK(testBed.answerTo(older.number)->missingShards == 0);
    }
    SUBCASE("The delegated legs are answered when all parts have arrived")
    {
        testBed.run(60ms);
        REQUIRE(testBed.answerTo(request.number));
        CHECK(testBed.answerTo(request.number)->coveredShards == std::vector<std::uint32_t> { 0, 1 });
    }
    SUBCASE("The delegated legs are answered with the parts received when the delegating instance needs them")
    {
        for (const auto* it : { "shard7-x", "shard7-y" })
            testBed.model(it).isSilent = true;
        testBed.run(180ms);
        REQUIRE(testBed.answerTo(request.number));
        CHECK(testBed.answerTo(request.number)->coveredShards == std::vector<std::uint32_t> { 0 });
        CHECK(testBed.outcomes().at(request.number).took == 180ms);
    }
    SUBCASE("No delegated leg is hedged before the delegating instance grants it")
    {
        for (const auto* it : { "shard7-x", "shard7-y" })
            testBed.model(it).isSilent = true;
        testBed.run(90ms);
        CHECK(testBed.arrivals("shard7-x") + testBed.arrivals("shard7-y") == 1);
        REQUIRE(testBed.extraAttemptRequests().size() == 1);
        CHECK(testBed.extraAttemptRequests().front().positions == std::vector<std::uint32_t> { 1 });
        testBed.grantExtraAttempts(request.number);
        CHECK(testBed.arrivals("shard7-x") + testBed.arrivals("shard7-y") == 2);
    }
    SUBCASE("A failed delegated leg is returned, so that the delegating instance can retry it")
    {
        testBed.failServerRequest(testBed.serverRequests().front().id, ServerRequestFailure::Broken);
        CHECK(testBed.serverRequests().size() == 1);
        testBed.run(60ms);
        REQUIRE(testBed.answerTo(request.number));
        CHECK(testBed.answerTo(request.number)->runs == std::vector<std::uint32_t> { 1, 1 });
        CHECK(testBed.answerTo(request.number)->missingShards == 1);
    }
    SUBCASE("A failed delegated leg goes to another server as soon as the delegating instance grants it, and never to the same one")
    {
        const auto failed = testBed.serverRequests().front();
        testBed.failServerRequest(failed.id, ServerRequestFailure::Broken);
        testBed.run(1ms);
        REQUIRE(testBed.extraAttemptRequests().size() == 1);
        CHECK(testBed.extraAttemptRequests().front().positions == std::vector<std::uint32_t> { 0, 1 });
        testBed.grantExtraAttempts(request.number);
        testBed.run(8ms);
        REQUIRE(testBed.serverRequests().size() == 2);
        CHECK(testBed.serverRequests().back().server.service == failed.server.service);
        CHECK(testBed.serverRequests().back().server.name != failed.server.name);
        testBed.run(60ms);
        REQUIRE(testBed.answerTo(request.number));
        CHECK(testBed.answerTo(request.number)->missingShards == 0);
        CHECK(testBed.answerTo(request.number)->runs == std::vector<std::uint32_t> { 2, 1 });
    }
    SUBCASE("A failed delegated leg of a route that is not idempotent is returned, and never runs again here")
    {
        auto onceTable = std::make_shared<RouteTable>(*table);
        onceTable->routes.front().isIdempotent = false;
        auto once = request;
        once.number = RequestNumber(902);
        once.table = onceTable;
        once.route = &onceTable->routes.front();
        testBed.run(60ms);
        const auto before = testBed.arrivals("shard7-x") + testBed.arrivals("shard7-y");
        testBed.startRequest(once);
        for (const auto& it : testBed.serverRequests()) {
            if (it.server.service == ServiceName("shard7"))
                testBed.respond(it.id, ServerResponseKind::Failed);
        }
        testBed.grantExtraAttempts(once.number);
        testBed.run(60ms);
        REQUIRE(testBed.answerTo(once.number));
        CHECK(testBed.answerTo(once.number)->runs == std::vector<std::uint32_t> { 1, 1 });
        CHECK(testBed.arrivals("shard7-x") + testBed.arrivals("shard7-y") == before + 1);
    }
    SUBCASE("A failed delegated leg whose content becomes suspect is returned, although its extra attempt was granted")
    {
        testBed.failServerRequest(testBed.serverRequests().front().id, ServerRequestFailure::Broken);
        testBed.run(1ms);
        testBed.grantExtraAttempts(request.number);
        testBed.announceCrash({ Fingerprint(1), 2, {}, ServerName("shard6-z"), ServiceName("shard6") });
        testBed.run(60ms);
        REQUIRE(testBed.answerTo(request.number));
        CHECK(testBed.answerTo(request.number)->runs == std::vector<std::uint32_t> { 1, 1 });
        CHECK(testBed.arrivals("shard6-x") + testBed.arrivals("shard6-y") == 1);
    }
    SUBCASE("Delegated legs that fail at one moment go to other servers once another leg of their search is served")
    {
        auto larger = request;
        larger.number = RequestNumber(902);
        larger.content = Fingerprint(2);
        larger.onlyShards = { ServiceName("shard2"), ServiceName("shard3"), ServiceName("shard4"), ServiceName("shard5") };
        testBed.startRequest(larger);
        const auto sent = testBed.serverRequests();
        for (const auto index : { 2, 3, 4 })
            testBed.failServerRequest(sent.at(index).id, ServerRequestFailure::Broken);
        testBed.grantExtraAttempts(larger.number);
        testBed.run(15ms);
        CHECK(testBed.serverRequests().size() == 3);
        testBed.run(60ms);
        REQUIRE(testBed.answerTo(larger.number));
        CHECK(testBed.answerTo(larger.number)->missingShards == 0);
        CHECK(testBed.answerTo(larger.number)->runs == std::vector<std::uint32_t> { 2, 2, 2, 1 });
    }
    SUBCASE("A failed delegated leg without another server is returned at once")
    {
        const auto failed = testBed.serverRequests().front();
        testBed.removeServer(failed.server.name.value() == "shard6-x" ? "shard6-y" : "shard6-x");
        testBed.failServerRequest(failed.id, ServerRequestFailure::Broken);
        testBed.run(21ms);
        REQUIRE(testBed.answerTo(request.number));
        CHECK(testBed.answerTo(request.number)->runs == std::vector<std::uint32_t> { 1, 1 });
        CHECK(testBed.extraAttemptRequests().empty());
    }
}

TEST_CASE("The engine of a small instance delegates a search with more shards than it can send in time" * doctest::test_suite("forward"))
{
    auto settings = settingsInZoneA();
    settings.cores = Share { 0.1 };
    ForwardTestBed testBed(settings);
    std::vector<std::string> names;
    for (int i = 0; i < 60; ++i) {
        names.push_back("shard" + std::to_string(i));
        testBed.addServer(names.back(), names.back() + "-x", "a");
    }
    DelegateChooser chooser { InstanceName("a0"), ZoneName("a") };
    std::vector<Instance> fleet;
    for (const auto* name : { "a0", "a1", "a2", "a3", "a4", "a5" }) {
        Instance it;
        it.name = InstanceName(name);
        it.zone = ZoneName("a");
        fleet.push_back(it);
    }
    chooser.onPeers(fleet);
    testBed.engine().setDelegateChooser(chooser);
    const auto number = testBed.start(testBed.searchRoute(names));

    SUBCASE("The legs are divided among instances of the zone, each shard once")
    {
        std::size_t delegated = 0;
        for (const auto& it : testBed.delegations()) {
            CHECK(it.shards.size() <= 12);
            delegated += it.shards.size();
        }
        CHECK(testBed.delegations().size() >= 3);
        CHECK(delegated + testBed.serverRequests().size() == 60);
    }
    SUBCASE("The answer is merged from the parts of all delegates")
    {
        testBed.run(50ms);
        const auto delegations = testBed.delegations();
        for (const auto& it : delegations) {
            ForwardAnswer answer;
            answer.kind = ForwardAnswerKind::Search;
            for (std::uint32_t i = 0; i < it.shards.size(); ++i) {
                answer.signatures.push_back(it.shards[i].value());
                answer.coveredShards.push_back(i);
                answer.runs.push_back(1);
            }
            testBed.answerDelegation(it.id, answer);
        }
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.answerTo(number)->missingShards == 0);
        CHECK(testBed.answerTo(number)->signatures.size() == 60);
    }
    SUBCASE("When one delegation fails, the engine sends its legs itself")
    {
        const auto before = testBed.serverRequests().size();
        const auto failed = testBed.delegations().front();
        testBed.failDelegation(failed.id, true);
        CHECK(testBed.serverRequests().size() == before + failed.shards.size());
    }
    SUBCASE("A leg that a delegate ran without success goes to another server than the one that the delegate probably tried")
    {
        for (const auto& it : names)
            testBed.addServer(it, it + "-y", "b");
        const auto returned = testBed.delegations().front();
        ForwardAnswer answer;
        answer.kind = ForwardAnswerKind::Failed;
        answer.runs.assign(returned.shards.size(), 1);
        testBed.answerDelegation(returned.id, answer);
        for (const auto& shard : returned.shards) {
            CHECK(testBed.arrivals(shard.value() + "-x") == 0);
            CHECK(testBed.arrivals(shard.value() + "-y") == 1);
        }
    }
}

TEST_CASE("Shards with servers in this zone are not delegated to another one because attempts of this instance failed there" * doctest::test_suite("forward"))
{
    // The delegates of the zone know its servers better than an instance that seldom sends to them.
    DelegatedSearchFixture search;
    auto& testBed = search.testBed;
    testBed.start(testBed.searchRoute(search.names));
    for (const auto& it : testBed.serverRequests())
        testBed.failServerRequest(it.id, ServerRequestFailure::NotConnected);
    testBed.start(testBed.searchRoute(search.names));
    REQUIRE(testBed.delegations().size() == 2);
    CHECK(testBed.delegations().back().shards == testBed.delegations().front().shards);
    SUBCASE("also while their servers are in their back-off")
    {
        testBed.run(100ms);
        testBed.start(testBed.searchRoute(search.names));
        CHECK(testBed.delegations().back().shards == testBed.delegations().front().shards);
    }
}

}
