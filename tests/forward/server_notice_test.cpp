#include "forward_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("A server that says in a response that it leaves gets no new work, though its entry is still listed" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    testBed.addServer("lookups", "o1", "a", { .isLeaving = true });
    const auto route = testBed.singleRoute("lookups", true);
    const auto first = testBed.start(route);
    testBed.run(100ms);
    CHECK(testBed.answerTo(first)->kind == ForwardAnswerKind::PassThrough);

    SUBCASE("Another server takes all further requests")
    {
        testBed.addServer("lookups", "o2", "b");
        for (int i = 0; i < 20; ++i) {
            testBed.start(route);
            testBed.run(100ms);
        }
        CHECK(testBed.arrivals("o1") == 1);
        CHECK(testBed.arrivals("o2") == 20);
    }
    SUBCASE("Without another server a request is refused at once")
    {
        const auto refused = testBed.start(route);
        REQUIRE(testBed.answerTo(refused));
        CHECK(testBed.answerTo(refused)->kind == ForwardAnswerKind::NotRun);
        CHECK(testBed.arrivals("o1") == 1);
    }
    // Case 8 of the review: the mark was dropped with the entry, and a late heartbeat put the entry back.
    SUBCASE("An entry that is removed and then put back by a late heartbeat does not bring it back")
    {
        testBed.setListed("o1", false);
        testBed.run(5s);
        testBed.setListed("o1", true);
        const auto refused = testBed.start(route);
        REQUIRE(testBed.answerTo(refused));
        CHECK(testBed.answerTo(refused)->kind == ForwardAnswerKind::NotRun);
        CHECK(testBed.arrivals("o1") == 1);

        SUBCASE("But a new process under its name gets work")
        {
            testBed.setListed("o1", false);
            testBed.restartServer("o1");
            testBed.setListed("o1", true);
            testBed.start(route);
            CHECK(testBed.arrivals("o1") == 1);
        }
    }
    SUBCASE("An update of its entry does not bring it back, and a new process under its name does")
    {
        testBed.publish();
        const auto refused = testBed.start(route);
        CHECK(testBed.answerTo(refused));
        testBed.restartServer("o1");
        testBed.start(route);
        CHECK(testBed.arrivals("o1") == 1);
    }
}

TEST_CASE("A server that asks for a pause gets nothing from this instance until its end" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    testBed.addServer("lookups", "o1", "a", { .slots = 1, .queue = 0, .retryAfter = 4s });
    const auto route = testBed.singleRoute("lookups", true);
    testBed.start(route);
    const auto refused = testBed.start(route);
    REQUIRE(testBed.arrivals("o1") == 2);
    REQUIRE(testBed.answerTo(refused));
    CHECK(testBed.answerTo(refused)->kind == ForwardAnswerKind::NotRun);

    SUBCASE("Requests are refused at once meanwhile, with the time that is left, though the server is free again")
    {
        for (int i = 0; i < 10; ++i) {
            testBed.run(300ms);
            const auto early = testBed.start(route);
            REQUIRE(testBed.answerTo(early));
            CHECK(testBed.answerTo(early)->kind == ForwardAnswerKind::NotRun);
            CHECK(testBed.answerTo(early)->retryAfter >= 1s);
        }
        CHECK(testBed.arrivals("o1") == 2);
        testBed.run(1s);
        testBed.start(route);
        CHECK(testBed.arrivals("o1") == 3);
    }
    SUBCASE("A replica takes the requests")
    {
        testBed.addServer("lookups", "o2", "b");
        for (int i = 0; i < 10; ++i) {
            testBed.start(route);
            testBed.run(300ms);
        }
        CHECK(testBed.arrivals("o1") == 2);
        CHECK(testBed.arrivals("o2") == 10);
    }
    SUBCASE("A new process of the server has asked for nothing")
    {
        testBed.restartServer("o1");
        testBed.start(route);
        CHECK(testBed.arrivals("o1") == 1);
    }
}

TEST_CASE("A search that a missing server and a refusing one leave with too few shards is refused before anything is sent" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    std::vector<std::string> shards;
    for (int i = 0; i < 10; ++i)
        shards.push_back("s" + std::to_string(i));
    for (int i = 1; i < 10; ++i)
        testBed.addServer(shards[static_cast<std::size_t>(i)], "server" + std::to_string(i), "a", { .slots = 1, .queue = 0, .retryAfter = 4s });
    const auto route = testBed.searchRoute(shards);
    testBed.start(testBed.singleRoute("s1", true));
    testBed.start(testBed.singleRoute("s1", true));
    testBed.run(100ms);
    const auto refused = testBed.start(route);
    REQUIRE(testBed.answerTo(refused));
    CHECK(testBed.answerTo(refused)->kind == ForwardAnswerKind::NotRun);
    CHECK(testBed.arrivals("server1") == 2);
    for (int i = 2; i < 10; ++i)
        CHECK(testBed.arrivals("server" + std::to_string(i)) == 0);
}

}
