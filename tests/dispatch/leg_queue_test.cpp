#include "dispatch/leg_queue.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { Duration(1000) };

RelayLeg leg(std::uint64_t request, Priority priority, Duration budget)
{
    auto order = std::make_shared<WorkOrder>();
    order->request = { ProcessLife(1), request };
    order->priority = priority;
    order->deadline = start + budget;
    return { order, {}, start };
}

std::uint64_t popped(LegQueue& queue, TimePoint now)
{
    const auto it = queue.pop(now);
    return it ? it->order->request.counter : 0;
}

}

TEST_CASE("The queue orders the legs that wait for a server" * doctest::test_suite("dispatch"))
{
    LegQueue queue;
    queue.push(leg(1, Priority::Desk, 100ms), start);
    queue.push(leg(2, Priority::Desk, 50ms), start);
    queue.push(leg(3, Priority::Van, 200ms), start);

    SUBCASE("The queue returns legs by priority, then by deadline")
    {
        CHECK(popped(queue, start) == 3);
        CHECK(popped(queue, start) == 2);
        CHECK(popped(queue, start) == 1);
        CHECK(popped(queue, start) == 0);
    }
    SUBCASE("The queue counts the legs that run before a given priority and deadline")
    {
        CHECK(queue.countAhead(Priority::Van, start + 100ms) == 0);
        CHECK(queue.countAhead(Priority::Desk, start + 60ms) == 2);
        CHECK(queue.countAhead(Priority::Batch, start + 60ms) == 3);
        CHECK(queue.last()->order->request.counter == 1);
    }
    SUBCASE("The queue removes legs whose deadline has passed")
    {
        CHECK((queue.nextDeadline() == start + 50ms));
        CHECK(queue.removeExpired(start + 50ms).size() == 1);
        CHECK(queue.size() == 2);
    }
    SUBCASE("The queue gives a starved priority a turn after the maximum starvation time")
    {
        std::uint64_t van = 100;
        auto now = start;
        std::uint32_t desk = 0;
        while (now < start + LegQueue::maxStarvation + 100ms) {
            queue.push(leg(++van, Priority::Van, 10s), now);
            desk += popped(queue, now) < 3 ? 1 : 0;
            now += 10ms;
        }
        CHECK(desk == 1);
    }
    SUBCASE("The queue estimates the wait for a turn of a priority, including the effect of legs that arrive later")
    {
        auto now = start;
        for (std::uint64_t i = 0; i < 200; ++i) {
            queue.push(leg(10 + i, Priority::Desk, 10s), now);
            now += 40ms;
            queue.pop(now);
        }
        const auto wait = queue.waitForTurn(Priority::Batch, never);
        CHECK(wait == Duration {});
        const auto turns = queue.size() + 1;
        CHECK(queue.waitForTurn(Priority::Desk, never) > 30ms * static_cast<int>(turns - 1));
        CHECK(queue.waitForTurn(Priority::Desk, never) < 50ms * static_cast<int>(turns));
    }
}

}
