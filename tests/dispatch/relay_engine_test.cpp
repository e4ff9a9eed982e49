#include "dispatch/relay_fixture.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("a relay runs the legs of its servers" * doctest::test_suite("dispatch"))
{
    RelayFixture relay;
    relay.addServer("s0");
    relay.publish({ "self" });
    relay.connectAll();

    SUBCASE("at most as many as the server has slots, the rest wait")
    {
        for (std::uint64_t i = 0; i < 4; ++i)
            relay.send(relay.order(i, "s0"));
        auto running = relay.take<RunLeg>();
        REQUIRE(running.size() == RelayFixture::slots);
        CHECK(running[0].connection != running[1].connection);
        CHECK(running[0].work.legs.size() == 1);
        CHECK(relay.engine().inFlight() == 4);

        SUBCASE("each answer frees a slot for the next and gives one result")
        {
            std::size_t results = 0;
            while (!running.empty()) {
                relay.advance(5ms);
                relay.respond(running.front());
                running.erase(running.begin());
                for (const auto& it : relay.take<ReturnResult>()) {
                    ++results;
                    CHECK(it.entry == InstanceName("entry"));
                    CHECK(outcomeOf(it) == "ok");
                    CHECK(it.result.serviceTime >= 5ms);
                }
                for (const auto& it : relay.take<RunLeg>())
                    running.push_back(it);
            }
            CHECK(results == 4);
            CHECK(relay.engine().inFlight() == 0);
        }
    }
    SUBCASE("van lookups go before desk work")
    {
        for (std::uint64_t i = 0; i < 4; ++i)
            relay.send(relay.order(i, "s0"));
        relay.send(relay.order(9, "s0", Priority::Van));
        const auto running = relay.take<RunLeg>();
        relay.respond(running[0]);
        const auto next = relay.take<RunLeg>();
        REQUIRE(next.size() == 1);
        CHECK(next[0].work.request.counter == 9);
    }
    SUBCASE("a leg for a server it does not hold is refused, not run")
    {
        relay.send(relay.order(1, "s9"));
        const auto results = relay.take<ReturnResult>();
        REQUIRE(results.size() == 1);
        CHECK(outcomeOf(results[0]) == "not-held");
        CHECK(provesNotRun(results[0].result.outcome));
    }
    SUBCASE("a second copy of a leg in flight is dropped")
    {
        relay.send(relay.order(1, "s0"));
        relay.send(relay.order(1, "s0"));
        CHECK(relay.take<RunLeg>().size() == 1);
        CHECK(relay.take<ReturnResult>().empty());
    }
    SUBCASE("a connection that dies")
    {
        relay.send(relay.order(1, "s0"));
        const auto running = relay.take<RunLeg>();
        REQUIRE(running.size() == 1);

        SUBCASE("with bytes handed over leaves the leg lost")
        {
            relay.dropConnection(running[0], true);
            const auto results = relay.take<ReturnResult>();
            REQUIRE(results.size() == 1);
            CHECK(outcomeOf(results[0]) == "lost");
            CHECK(results[0].result.crashed);
        }
        SUBCASE("without a byte handed over leaves the leg not run")
        {
            relay.dropConnection(running[0], false);
            const auto results = relay.take<ReturnResult>();
            REQUIRE(results.size() == 1);
            CHECK(outcomeOf(results[0]) == "refused");
            CHECK_FALSE(results[0].result.crashed);
        }
    }
    SUBCASE("a deadline that passes in the queue")
    {
        for (std::uint64_t i = 0; i < 3; ++i)
            relay.send(relay.order(i, "s0", Priority::Desk, 20ms));
        CHECK(relay.take<RunLeg>().size() == 2);
        relay.run(21ms);
        const auto results = relay.take<ReturnResult>();
        REQUIRE(results.size() == 1);
        CHECK(outcomeOf(results[0]) == "expired");
        SUBCASE("cancels the legs that run past it, and closes their connections when the server hangs")
        {
            CHECK(relay.take<CancelAtServer>().size() == 2);
            relay.run(2s);
            CHECK(relay.take<CloseConnection>().size() == 2);
            const auto lost = relay.take<ReturnResult>();
            REQUIRE(lost.size() == 2);
            CHECK(outcomeOf(lost[0]) == "lost");
            CHECK_FALSE(lost[0].result.crashed);
            CHECK((relay.engine().nextWake() == never));
        }
    }
    SUBCASE("a cancelled leg")
    {
        for (std::uint64_t i = 0; i < 3; ++i)
            relay.send(relay.order(i, "s0"));
        const auto running = relay.take<RunLeg>();

        SUBCASE("leaves the queue at once")
        {
            relay.engine().onCancel({ { ProcessLife(7), 2 }, LegNumber(0), AttemptNumber(0) }, relay.now(), relay.actions());
            const auto results = relay.take<ReturnResult>();
            REQUIRE(results.size() == 1);
            CHECK(outcomeOf(results[0]) == "cancelled");
        }
        SUBCASE("is cancelled at the server and keeps its slot until the answer")
        {
            relay.engine().onCancel({ { ProcessLife(7), 0 }, LegNumber(0), AttemptNumber(0) }, relay.now(), relay.actions());
            CHECK(relay.take<CancelAtServer>().size() == 1);
            CHECK(relay.take<RunLeg>().empty());
            relay.respond(running[0], LegOutcome::Cancelled);
            CHECK(relay.take<RunLeg>().size() == 1);
            CHECK(relay.take<ReturnResult>().size() == 1);
        }
    }
    SUBCASE("an instance that drains finishes what it has and refuses the rest")
    {
        relay.send(relay.order(1, "s0"));
        const auto running = relay.take<RunLeg>();
        relay.engine().beginDrain(relay.now(), relay.actions());
        relay.send(relay.order(2, "s0"));
        const auto refused = relay.take<ReturnResult>();
        REQUIRE(refused.size() == 1);
        CHECK(outcomeOf(refused[0]) == "not-held");
        relay.respond(running[0]);
        const auto finished = relay.take<ReturnResult>();
        REQUIRE(finished.size() == 1);
        CHECK(outcomeOf(finished[0]) == "ok");
    }
}

}
