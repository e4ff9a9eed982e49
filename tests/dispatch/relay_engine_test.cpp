#include "dispatch/relay_fixture.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("The relay runs the legs of its servers" * doctest::test_suite("dispatch"))
{
    RelayFixture relay;
    relay.addServer("s0");
    relay.publish({ "self" });
    relay.connectAll();

    SUBCASE("The relay sends at most as many legs as the server has slots and queues the others")
    {
        for (std::uint64_t i = 0; i < 4; ++i)
            relay.send(relay.order(i, "s0"));
        auto running = relay.take<SendLeg>();
        REQUIRE(running.size() == RelayFixture::slots);
        CHECK(running[0].connection != running[1].connection);
        CHECK(running[0].work.legs.size() == 1);
        CHECK(relay.engine().inFlight() == 4);

        SUBCASE("Each response frees a slot for the next leg and gives one result")
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
                for (const auto& it : relay.take<SendLeg>())
                    running.push_back(it);
            }
            CHECK(results == 4);
            CHECK(relay.engine().inFlight() == 0);
        }
    }
    SUBCASE("The relay sends van lookups before desk work")
    {
        for (std::uint64_t i = 0; i < 4; ++i)
            relay.send(relay.order(i, "s0"));
        relay.send(relay.order(9, "s0", Priority::Van));
        const auto running = relay.take<SendLeg>();
        relay.respond(running[0]);
        const auto next = relay.take<SendLeg>();
        REQUIRE(next.size() == 1);
        CHECK(next[0].work.request.counter == 9);
    }
    SUBCASE("The relay refuses a leg for a server that the relay does not hold, without running the leg")
    {
        relay.send(relay.order(1, "s9"));
        const auto results = relay.take<ReturnResult>();
        REQUIRE(results.size() == 1);
        CHECK(outcomeOf(results[0]) == "not-held");
        CHECK(provesNotRun(results[0].result.outcome));
    }
    SUBCASE("The relay drops a duplicate of a leg in flight")
    {
        relay.send(relay.order(1, "s0"));
        relay.send(relay.order(1, "s0"));
        CHECK(relay.take<SendLeg>().size() == 1);
        CHECK(relay.take<ReturnResult>().empty());
    }
    SUBCASE("A connection breaks while a leg is in flight")
    {
        relay.send(relay.order(1, "s0"));
        const auto running = relay.take<SendLeg>();
        REQUIRE(running.size() == 1);

        SUBCASE("The relay reports the leg as lost when bytes of the leg were written to the broken connection")
        {
            relay.dropConnection(running[0], true);
            const auto results = relay.take<ReturnResult>();
            REQUIRE(results.size() == 1);
            CHECK(outcomeOf(results[0]) == "lost");
            CHECK(results[0].result.crashed);
        }
        SUBCASE("The relay reports the leg as not run when no byte of the leg was written to the broken connection")
        {
            relay.dropConnection(running[0], false);
            const auto results = relay.take<ReturnResult>();
            REQUIRE(results.size() == 1);
            CHECK(outcomeOf(results[0]) == "refused");
            CHECK_FALSE(results[0].result.crashed);
        }
    }
    SUBCASE("The relay reports a leg as expired when its deadline passes in the queue")
    {
        for (std::uint64_t i = 0; i < 3; ++i)
            relay.send(relay.order(i, "s0", Priority::Desk, 20ms));
        CHECK(relay.take<SendLeg>().size() == 2);
        relay.run(21ms);
        const auto results = relay.take<ReturnResult>();
        REQUIRE(results.size() == 1);
        CHECK(outcomeOf(results[0]) == "expired");
        SUBCASE("The relay cancels running legs whose deadline has passed and closes their connections when the server hangs")
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
    SUBCASE("A caller cancels a leg")
    {
        for (std::uint64_t i = 0; i < 3; ++i)
            relay.send(relay.order(i, "s0"));
        const auto running = relay.take<SendLeg>();

        SUBCASE("The relay removes a cancelled leg from the queue at once")
        {
            relay.engine().onCancel({ { ProcessLife(7), 2 }, LegNumber(0), AttemptNumber(0) }, relay.now(), relay.actions());
            const auto results = relay.take<ReturnResult>();
            REQUIRE(results.size() == 1);
            CHECK(outcomeOf(results[0]) == "cancelled");
        }
        SUBCASE("The relay cancels a running leg at the server and keeps the leg's slot until the response")
        {
            relay.engine().onCancel({ { ProcessLife(7), 0 }, LegNumber(0), AttemptNumber(0) }, relay.now(), relay.actions());
            CHECK(relay.take<CancelAtServer>().size() == 1);
            CHECK(relay.take<SendLeg>().empty());
            relay.respond(running[0], LegOutcome::Cancelled);
            CHECK(relay.take<SendLeg>().size() == 1);
            CHECK(relay.take<ReturnResult>().size() == 1);
        }
    }
    SUBCASE("A draining relay finishes the legs already taken and refuses new ones")
    {
        relay.send(relay.order(1, "s0"));
        const auto running = relay.take<SendLeg>();
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
