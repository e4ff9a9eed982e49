#include "forward_world.h"

#include "forward/crash_quarantine.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("a content that ended three servers is refused" * doctest::test_suite("forward"))
{
    CrashQuarantine crashes;
    const Fingerprint content(7);
    const TimePoint now { 100s };
    CHECK(crashes.isEmpty());
    CHECK(crashes.recordCrash(content, ServerName("s1"), now));
    CHECK_FALSE(crashes.recordCrash(content, ServerName("s1"), now + 1s));
    CHECK(crashes.recordCrash(content, ServerName("s2"), now + 2s));
    CHECK(crashes.remaining(content, now + 2s) == Duration {});

    SUBCASE("for a while after the last one")
    {
        CHECK(crashes.recordCrash(content, ServerName("s3"), now + 3s));
        CHECK(crashes.remaining(content, now + 4s) == 29s);
        CHECK(crashes.remaining(Fingerprint(8), now + 4s) == Duration {});
        CHECK(crashes.remaining(content, now + 33s) == Duration {});

        SUBCASE("and at once again when it ends a fourth one after that")
        {
            crashes.recordCrash(content, ServerName("s4"), now + 34s);
            CHECK(crashes.remaining(content, now + 34s) == 30s);
        }
    }
    SUBCASE("but not one that was served between: the servers ended for another reason")
    {
        crashes.recordServed(content);
        crashes.recordCrash(content, ServerName("s3"), now + 3s);
        CHECK(crashes.remaining(content, now + 3s) == Duration {});
    }
    SUBCASE("and not after a long time without a crash")
    {
        for (std::uint64_t i = 100; i < 400; ++i)
            crashes.recordCrash(Fingerprint(i), ServerName("s1"), now + 3min);
        crashes.recordCrash(content, ServerName("s3"), now + 3min);
        CHECK(crashes.remaining(content, now + 3min) == Duration {});
    }
}

TEST_CASE("a request that ends the servers that run it" * doctest::test_suite("forward"))
{
    ForwardSettings settings;
    settings.zone = ZoneName("a");
    settings.retrySlack = 100;
    ForwardWorld world(settings);
    for (const auto* name : { "o1", "o2", "o3", "o4" })
        world.addServer("lookups", name, "a");
    const auto route = world.singleRoute("lookups", true);
    const auto breakAll = [&] {
        while (!world.sends().empty())
            world.lose(world.sends().front().id, ServerRequestFailure::Broken);
    };

    const auto first = world.start(route);
    breakAll();
    CHECK(world.answerTo(first)->kind == ForwardAnswerKind::Failed);
    CHECK(world.toldCrashes().size() == 2);

    SUBCASE("runs no more after the third, here or told by another instance, and its caller hears so at once")
    {
        SUBCASE("here")
        {
            world.start(route);
            breakAll();
        }
        SUBCASE("told by another instance")
        {
            world.engine().onCrashNews(world.toldCrashes().front().content, ServerName("o9"), world.now());
        }
        const auto arrivals = world.arrivals("o1") + world.arrivals("o2") + world.arrivals("o3") + world.arrivals("o4");
        CHECK(arrivals <= 3);
        const auto refused = world.start(route);
        REQUIRE(world.answerTo(refused));
        CHECK(world.answerTo(refused)->kind == ForwardAnswerKind::NotRun);
        CHECK(world.answerTo(refused)->retryAfter > 10s);
        CHECK(world.arrivals("o1") + world.arrivals("o2") + world.arrivals("o3") + world.arrivals("o4") == arrivals);
    }
    SUBCASE("goes on when a server serves it")
    {
        const auto second = world.start(route);
        world.run(100ms);
        CHECK(world.answerTo(second)->kind == ForwardAnswerKind::PassThrough);
        world.start(route);
        breakAll();
        const auto third = world.start(route);
        CHECK_FALSE(world.answerTo(third));
    }
}

}
