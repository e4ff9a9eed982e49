#include "wire/peer_clock.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("PeerClock never makes a peer's time later than it was" * doctest::test_suite("wire"))
{
    // The peer's clock is 1000 s ahead of this process's.
    constexpr Duration ahead = 1000s;
    const auto there = [&](TimePoint own) { return own + ahead; };
    const TimePoint start { 50s };
    PeerClock clock;
    CHECK_FALSE(clock.toOwn(there(start), start));
    CHECK(clock.timesFor(start) == FrameTimes { start });

    SUBCASE("the first frame, without an echo, tells nothing")
    {
        const auto sent = clock.onFrame(FrameTimes { there(start) }, start + 1s);
        CHECK_FALSE(sent.earliest);
        CHECK(sent.latest == start + 1s);
        CHECK(sent.startOfLimits() == start + 1s);
        CHECK_FALSE(clock.toOwn(there(start), start + 1s));
    }
    SUBCASE("a frame without times, from a peer of an earlier release, tells nothing")
    {
        CHECK(clock.onFrame(std::nullopt, start + 1s) == SendTime { std::nullopt, start + 1s, start + 1s });
    }
    SUBCASE("an echo of a frame that this process never wrote is ignored")
    {
        clock.onFrame(FrameTimes { there(start), FrameEcho { start + 900s, there(start) } }, start + 1s);
        CHECK_FALSE(clock.toOwn(there(start), start + 1s));
    }
    SUBCASE("an echo that was read after it was sent is ignored")
    {
        clock.onFrame(FrameTimes { there(start), FrameEcho { start, there(start + 1s) } }, start + 1s);
        CHECK_FALSE(clock.toOwn(there(start), start + 1s));
    }
    SUBCASE("with an echo")
    {
        // The peer reads the frame after 10 ms and writes its own 500 ms later, which lies in a buffer for 2490 ms.
        const auto read = start + 3s;
        const auto sent = clock.onFrame(FrameTimes { there(start + 510ms), FrameEcho { start, there(start + 10ms) } }, read);
        const auto learned = clock.toOwn(there(start + 2s), read);
        REQUIRE(learned);

        SUBCASE("the frame was sent earlier by its time in the buffer, and never later than it was")
        {
            CHECK(sent.latest == read);
            CHECK(*sent.earliest <= start + 510ms);
            CHECK(*sent.earliest >= start + 496ms);
        }
        SUBCASE("a time limit in the frame counts from its sending, with a tolerance")
        {
            CHECK(sent.startOfLimits() >= start + 510ms);
            CHECK(sent.startOfLimits() <= start + 510ms + SendTime::deadlineTolerance);
        }
        SUBCASE("a time is early by the time to the peer and by what the clocks may have drifted since, and never late")
        {
            CHECK(*learned <= start + 2s - 10ms);
            CHECK(*learned >= start + 2s - 14ms);
        }
        SUBCASE("a time that can't be is at most now")
        {
            CHECK(clock.toOwn(there(start + 900s), read) == read);
        }
        SUBCASE("a frame that took longer later does not make the bound worse; one that was quicker makes it better")
        {
            const auto again = start + 30s;
            clock.timesFor(again);
            const auto before = *clock.toOwn(there(again), again + 1s);
            clock.onFrame(FrameTimes { there(again + 900ms), FrameEcho { again, there(again + 900ms) } }, again + 1s);
            CHECK(*clock.toOwn(there(again), again + 1s) == before);
            const auto third = again + 30s;
            clock.timesFor(third);
            clock.onFrame(FrameTimes { there(third + 1ms), FrameEcho { third, there(third + 1ms) } }, third + 1s);
            CHECK(*clock.toOwn(there(third), third + 1s) >= third - 2ms);
        }
        SUBCASE("a bound that a quick frame refutes, as after a clock stood still, is lowered")
        {
            // 5 s passed at the peer that this process's clock did not count.
            const auto stalled = start + 4s;
            clock.onFrame(FrameTimes { there(stalled + 5s - 1ms) }, stalled);
            const auto late = clock.onFrame(FrameTimes { there(stalled + 6s) }, stalled + 7s);
            CHECK(*late.earliest <= stalled + 1s + 10ms);
        }
        SUBCASE("after an idle hour a time limit is not cut by the drift of the clocks")
        {
            const auto later = start + 1h;
            const auto behind = clock.onFrame(FrameTimes { there(later) - 360ms }, later + 5ms);
            CHECK(behind.startOfLimits() >= later);
        }
        SUBCASE("the bound falls as the clocks may drift apart")
        {
            const auto later = start + 100s;
            CHECK(*clock.toOwn(there(start + 2s), later) <= start + 2s - 10ms - 99ms);
        }
        SUBCASE("a stream of frames that is late by 6 s looks 6 s old, however long it lasts")
        {
            for (auto now = start + 10s; now < start + 30s; now += 1s)
                CHECK(*clock.onFrame(FrameTimes { there(now - 6s) }, now).earliest <= now - 6s);
        }
    }
}

TEST_CASE("PeerClock asks for frames where none would go to the peer" * doctest::test_suite("wire"))
{
    const TimePoint start { 50s };
    PeerClock clock;
    clock.timesFor(start);
    CHECK_FALSE(clock.needsProbe(start + PeerClock::probePeriod - 1ms));
    CHECK(clock.needsProbe(start + PeerClock::probePeriod));
    SUBCASE("sooner while the frames are long on their way")
    {
        clock.onFrame(FrameTimes { start + 1s, FrameEcho { start, start + 1s } }, start + 1s);
        CHECK_FALSE(clock.needsProbe(start + PeerClock::looseProbePeriod - 1ms));
        CHECK(clock.needsProbe(start + PeerClock::looseProbePeriod));
    }
    SUBCASE("and not for the time that the peer held an echo back")
    {
        clock.onFrame(FrameTimes { start + 5s, FrameEcho { start, start + 5ms } }, start + 5005ms);
        CHECK_FALSE(clock.needsProbe(start + 5005ms));
    }
}

TEST_CASE("PeerClock echoes the latest frame, at most once in a while" * doctest::test_suite("wire"))
{
    const TimePoint start { 50s };
    PeerClock clock;
    clock.onFrame(FrameTimes { TimePoint(7s) }, start);
    clock.onFrame(FrameTimes { TimePoint(8s) }, start + 1s);
    CHECK(clock.timesFor(start + 2s) == FrameTimes { start + 2s, FrameEcho { TimePoint(8s), start + 1s } });
    CHECK(clock.timesFor(start + 1h).echo == std::nullopt);
    clock.onFrame(FrameTimes { TimePoint(9s) }, start + 1s + PeerClock::echoPeriod - 1ms);
    CHECK(clock.timesFor(start + 1h).echo == std::nullopt);
    clock.onFrame(FrameTimes { TimePoint(10s) }, start + 1s + PeerClock::echoPeriod);
    CHECK(clock.timesFor(start + 1h).echo == FrameEcho { TimePoint(10s), start + 1s + PeerClock::echoPeriod });
}

}
