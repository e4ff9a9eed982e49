#include "forward_test_bed.h"

#include <doctest/doctest.h>

#include <set>

namespace lycheefield {

using namespace std::chrono_literals;

// Guards against a process without descriptors that avoids its servers or refuses sound requests for it.
TEST_CASE("A lack of this machine's own resources is not held against its servers" * doctest::test_suite("forward"))
{
    ForwardTestBed testBed(settingsInZoneA());
    for (const auto* it : { "s1", "s2", "s3" })
        testBed.addServer("ledger", it, "a", { .isSilent = true });
    const auto route = testBed.singleRoute("ledger", true);

    SUBCASE("A server to which no connection could be opened gets the next requests as before")
    {
        testBed.start(route);
        const auto first = testBed.serverRequests().front();
        testBed.failServerRequest(first.id, ServerRequestFailure::NoLocalResources);
        std::set<ServerName> chosen;
        for (int i = 0; i < 3; ++i)
            testBed.start(route);
        for (const auto& it : testBed.serverRequests())
            chosen.insert(it.server.name);
        CHECK(chosen.contains(first.server.name));
    }
    SUBCASE("A request that none of its servers could be asked has not run, and says so")
    {
        const auto number = testBed.start(testBed.singleRoute("ledger", false));
        while (!testBed.serverRequests().empty())
            testBed.failServerRequest(testBed.serverRequests().front().id, ServerRequestFailure::NoLocalResources);
        REQUIRE(testBed.answerTo(number));
        CHECK(testBed.answerTo(number)->kind == ForwardAnswerKind::NotRun);
    }
    SUBCASE("A check that could not be made confirms no crash, and is made again")
    {
        testBed.setServerCheck(ServerCheck::NotMade);
        for (int i = 0; i < 4; ++i) {
            testBed.start(route);
            testBed.crashServersInFlight();
            testBed.run(200ms);
        }
        CHECK(testBed.announcedCrashes().empty());

        SUBCASE("It shows that the servers run: the content is served")
        {
            testBed.setServerCheck(ServerCheck::Running);
            testBed.run(300ms);
            testBed.start(route);
            CHECK_FALSE(testBed.serverRequests().empty());
        }
        SUBCASE("It shows that the servers have ended: the crashes count")
        {
            testBed.setServerCheck(ServerCheck::Ended);
            testBed.run(300ms);
            CHECK_FALSE(testBed.announcedCrashes().empty());
        }
    }
}

}
