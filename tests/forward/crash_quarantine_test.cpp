#include "forward_test_bed.h"

#include "forward/crash_quarantine.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("The quarantine refuses a content that crashed three servers" * doctest::test_suite("forward"))
{
    CrashQuarantine crashes;
    const Fingerprint content(7);
    const TimePoint now { 100s };
    CHECK(crashes.isEmpty());
    CHECK(crashes.recordCrash(content, ServerName("s1"), now));
    CHECK_FALSE(crashes.recordCrash(content, ServerName("s1"), now + 1s));
    CHECK(crashes.recordCrash(content, ServerName("s2"), now + 2s));
    CHECK(crashes.remaining(content, now + 2s) == Duration {});

    SUBCASE("The quarantine refuses the content for 30 s after the last crash")
    {
        CHECK(crashes.recordCrash(content, ServerName("s3"), now + 3s));
        CHECK(crashes.remaining(content, now + 4s) == 29s);
        CHECK(crashes.remaining(Fingerprint(8), now + 4s) == Duration {});
        CHECK(crashes.remaining(content, now + 33s) == Duration {});

        SUBCASE("A fourth crash after the quarantine's end renews the quarantine at once")
        {
            crashes.recordCrash(content, ServerName("s4"), now + 34s);
            CHECK(crashes.remaining(content, now + 34s) == 30s);
        }
    }
    SUBCASE("The quarantine allows a content that was served in between, since the servers crashed for another reason")
    {
        crashes.recordServed(content);
        crashes.recordCrash(content, ServerName("s3"), now + 3s);
        CHECK(crashes.remaining(content, now + 3s) == Duration {});
    }
    SUBCASE("The quarantine forgets the crashes of a content after a long time without another")
    {
        for (std::uint64_t i = 100; i < 400; ++i)
            crashes.recordCrash(Fingerprint(i), ServerName("s1"), now + 3min);
        crashes.recordCrash(content, ServerName("s3"), now + 3min);
        CHECK(crashes.remaining(content, now + 3min) == Duration {});
    }
}

TEST_CASE("The engine limits how many servers a request can crash" * doctest::test_suite("forward"))
{
    ForwardSettings settings;
    settings.zone = ZoneName("a");
    settings.retrySlack = 100;
    ForwardTestBed testBed(settings);
    for (const auto* name : { "o1", "o2", "o3", "o4" })
        testBed.addServer("lookups", name, "a");
    const auto route = testBed.singleRoute("lookups", true);
    const auto breakConnections = [&] {
        while (!testBed.serverRequests().empty())
            testBed.failServerRequest(testBed.serverRequests().front().id, ServerRequestFailure::Broken);
    };

    const auto first = testBed.start(route);
    breakConnections();
    CHECK(testBed.answerTo(first)->kind == ForwardAnswerKind::Failed);
    CHECK(testBed.announcedCrashes().size() == 2);

    SUBCASE("After the third crash the engine refuses the request at once")
    {
        SUBCASE("The third crash is observed by this instance")
        {
            testBed.start(route);
            breakConnections();
        }
        SUBCASE("The third crash is announced by another instance")
        {
            testBed.engine().onCrashAnnounced(testBed.announcedCrashes().front().content, ServerName("o9"), testBed.now());
        }
        const auto arrivals = testBed.arrivals("o1") + testBed.arrivals("o2") + testBed.arrivals("o3") + testBed.arrivals("o4");
        CHECK(arrivals <= 3);
        const auto refused = testBed.start(route);
        REQUIRE(testBed.answerTo(refused));
        CHECK(testBed.answerTo(refused)->kind == ForwardAnswerKind::NotRun);
        CHECK(testBed.answerTo(refused)->retryAfter > 10s);
        CHECK(testBed.arrivals("o1") + testBed.arrivals("o2") + testBed.arrivals("o3") + testBed.arrivals("o4") == arrivals);
    }
    SUBCASE("The engine keeps sending the request if a server served it between the crashes")
    {
        const auto second = testBed.start(route);
        testBed.run(100ms);
        CHECK(testBed.answerTo(second)->kind == ForwardAnswerKind::PassThrough);
        testBed.start(route);
        breakConnections();
        const auto third = testBed.start(route);
        CHECK_FALSE(testBed.answerTo(third));
    }
}

}
