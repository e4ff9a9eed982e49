#include "membership/peer_clocks.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("PeerClocks never makes a peer's time later than it was" * doctest::test_suite("membership"))
{
    const InstanceName peer("g2");
    const ProcessLife life(7);
    // The peer's clock is 1000 s ahead of this instance's.
    constexpr Duration ahead = 1000s;
    const auto there = [&](TimePoint own) { return own + ahead; };
    const TimePoint start { 50s };
    PeerClocks clocks;
    CHECK_FALSE(clocks.toOwn(peer, life, there(start), start));
    REQUIRE(clocks.ask(peer, life, start));
    CHECK_FALSE(clocks.ask(peer, life, start + 1s));

    SUBCASE("a call without an answer is repeated, and only the last one's answer counts")
    {
        REQUIRE(clocks.ask(peer, life, start + PeerClocks::retryTime));
        clocks.onAnswer(peer, life, start, there(start + 1ms), start + 3s);
        CHECK_FALSE(clocks.toOwn(peer, life, there(start), start + 3s));
        clocks.onAnswer(peer, life, start + PeerClocks::retryTime, there(start + 2s), start + 3s);
        CHECK(clocks.toOwn(peer, life, there(start), start + 3s));
    }
    SUBCASE("an answer to a call that this process never sent is ignored")
    {
        clocks.onAnswer(peer, life, start + 900s, there(start), start + 1s);
        clocks.onAnswer(InstanceName("g3"), life, start, there(start), start + 1s);
        CHECK_FALSE(clocks.toOwn(peer, life, there(start), start + 1s));
    }
    SUBCASE("with an answer")
    {
        // The peer answers 10 ms after the call was sent; the answer lies in a buffer for 3 s.
        const auto read = start + 3s;
        clocks.onAnswer(peer, life, start, there(start + 10ms), read);
        const auto learned = clocks.toOwn(peer, life, there(start + 2s), read);
        REQUIRE(learned);

        SUBCASE("a time is early by the time to the answer and by what the clocks may have drifted since, and never late")
        {
            CHECK(*learned <= start + 2s - 10ms);
            CHECK(*learned >= start + 2s - 14ms);
        }
        SUBCASE("a time that can't be is at most now")
        {
            CHECK(clocks.toOwn(peer, life, there(start + 900s), read) == read);
        }
        SUBCASE("a longer round trip later does not make the bound worse; a shorter one makes it better")
        {
            const auto again = start + PeerClocks::refreshTime;
            CHECK_FALSE(clocks.ask(peer, life, again - 1s));
            REQUIRE(clocks.ask(peer, life, again));
            const auto before = *clocks.toOwn(peer, life, there(again), again + 1s);
            clocks.onAnswer(peer, life, again, there(again + 900ms), again + 1s);
            CHECK(*clocks.toOwn(peer, life, there(again), again + 1s) == before);
            REQUIRE(clocks.ask(peer, life, again + PeerClocks::refreshTime));
            const auto third = again + PeerClocks::refreshTime;
            clocks.onAnswer(peer, life, third, there(third + 1ms), third + 1s);
            CHECK(*clocks.toOwn(peer, life, there(third), third + 1s) >= third - 2ms);
        }
        SUBCASE("the bound falls as the clocks may drift apart")
        {
            const auto later = start + 100s;
            CHECK(*clocks.toOwn(peer, life, there(start + 2s), later) <= start + 2s - 10ms - 99ms);
        }
        SUBCASE("a restarted peer's clock is unknown until it is asked again")
        {
            const ProcessLife next(8);
            CHECK_FALSE(clocks.toOwn(peer, next, there(read), read));
            CHECK(clocks.ask(peer, next, read));
            clocks.onAnswer(peer, life, read, there(read), read);
            CHECK_FALSE(clocks.toOwn(peer, next, there(read), read));
        }
        SUBCASE("a peer that has left is forgotten")
        {
            clocks.keepOnly(MembershipView());
            CHECK_FALSE(clocks.toOwn(peer, life, there(read), read));
        }
    }
}

}
