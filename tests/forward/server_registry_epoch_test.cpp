#include "forward/server_registry.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr Duration renewal = 1s;
constexpr auto grace = ServerRegistry::returnGrace;

ServerEntry entryOf(std::string name, std::uint64_t sequence, bool isDraining = false, std::int64_t startedAt = 1000)
{
    ServerEntry entry;
    entry.name = ServerName(std::move(name));
    entry.service = ServiceName("quotes");
    entry.endpoint = { "10.0.0.1", 80 };
    entry.sequence = sequence;
    entry.startedAt = startedAt;
    entry.isDraining = isDraining;
    return entry;
}

}

TEST_CASE("The store comes back from an older copy, and its first list is some seconds old" * doctest::test_suite("forward"))
{
    ServerRegistry registry(renewal);
    const TimePoint start { 10s };
    const auto back = start + 20s;
    const ServerName name("s1");
    registry.replaceAll({ entryOf("s1", 5), entryOf("s2", 5) }, start);

    SUBCASE("A server that the copy lacks is kept, as it may have written its entry after the copy was made")
    {
        registry.replaceAllOfNewEpoch({ entryOf("s2", 5) }, back);
        CHECK(registry.servers().contains(name));
        CHECK(registry.missing() == 1);

        SUBCASE("It stays once its entry is back")
        {
            registry.put(entryOf("s1", 6));
            CHECK_FALSE(registry.expire(back + 1min));
            CHECK(registry.servers().contains(name));
        }
        SUBCASE("It is removed when its entry is still missing after the grace period")
        {
            CHECK(registry.nextExpiry() == back + grace);
            CHECK_FALSE(registry.expire(back + grace - 1ms));
            CHECK(registry.expire(back + grace));
            CHECK_FALSE(registry.servers().contains(name));
        }
        SUBCASE("A second older copy starts the grace period again")
        {
            registry.replaceAllOfNewEpoch({ entryOf("s2", 5) }, back + 1s);
            CHECK_FALSE(registry.expire(back + grace));
            CHECK(registry.expire(back + 1s + grace));
        }
        SUBCASE("An ordinary list within the grace period doesn't end it")
        {
            CHECK_FALSE(registry.replaceAll({ entryOf("s2", 5) }, back + 1s));
            CHECK(registry.servers().contains(name));
        }
    }
    SUBCASE("An entry that is removed within the grace period may be one whose lease was lost")
    {
        registry.replaceAllOfNewEpoch({ entryOf("s1", 5), entryOf("s2", 5) }, back);
        CHECK_FALSE(registry.remove(name, back + 500ms));
        CHECK(registry.expire(back + grace));
        CHECK_FALSE(registry.servers().contains(name));
        CHECK(registry.remove(ServerName("s2"), back + grace));
    }
    SUBCASE("A draining server that the copy calls ready stays draining")
    {
        registry.put(entryOf("s1", 9, true));
        registry.replaceAllOfNewEpoch({ entryOf("s1", 8), entryOf("s2", 5) }, back);
        CHECK(registry.servers().at(name).isDraining);
        registry.expire(back + 1min);
        CHECK(registry.servers().at(name).isDraining);

        SUBCASE("A new process of that name is used")
        {
            CHECK(registry.put(entryOf("s1", 1, false, 2000)));
            CHECK_FALSE(registry.servers().at(name).isDraining);
        }
    }
    SUBCASE("A draining server that the copy lacks is removed at once")
    {
        registry.put(entryOf("s1", 9, true));
        CHECK(registry.replaceAllOfNewEpoch({ entryOf("s2", 5) }, back));
        CHECK_FALSE(registry.servers().contains(name));
    }
    SUBCASE("A removed server that the copy lists is not brought back")
    {
        registry.remove(name, start + 1s);
        // The list shows the latest sequence, which no event has told before.
        std::uint64_t sequence = 5;
        SUBCASE("with the sequence that is known") { }
        SUBCASE("with a higher sequence, as the store tells no change of the sequence alone") { sequence = 17; }
        CAPTURE(sequence);
        CHECK_FALSE(registry.replaceAllOfNewEpoch({ entryOf("s1", sequence), entryOf("s2", 5) }, back));
        CHECK_FALSE(registry.servers().contains(name));
        CHECK(registry.heldBack() == 1);

        SUBCASE("It is taken again when it renews its entry")
        {
            CHECK(registry.put(entryOf("s1", sequence + 1)));
            CHECK(registry.servers().contains(name));
            CHECK(registry.heldBack() == 0);
        }
        SUBCASE("A new process of that name is taken at once")
        {
            CHECK(registry.put(entryOf("s1", 1, false, 2000)));
            CHECK(registry.servers().contains(name));
        }
        SUBCASE("It stays away when its entry is removed again")
        {
            registry.remove(name, back + 1s);
            CHECK_FALSE(registry.expire(back + 1min));
            CHECK_FALSE(registry.servers().contains(name));
        }
        SUBCASE("It stays away when its entry is replaced by that of an earlier process")
        {
            const auto earlier = entryOf("s1", 50, false, 500);
            SUBCASE("by a change") { CHECK_FALSE(registry.put(earlier)); }
            SUBCASE("by a second older copy") { CHECK_FALSE(registry.replaceAllOfNewEpoch({ earlier, entryOf("s2", 5) }, back + 1s)); }
            CHECK_FALSE(registry.expire(back + 1min));
            CHECK_FALSE(registry.servers().contains(name));
        }
        SUBCASE("It stays away when a later list lacks it")
        {
            registry.replaceAll({ entryOf("s2", 5) }, back + 1s);
            CHECK_FALSE(registry.expire(back + 1min));
            CHECK_FALSE(registry.servers().contains(name));
        }
        SUBCASE("It is taken when it is still listed after the time in which the store removes the entry of a server that has ended")
        {
            const auto until = back + 3 * renewal + grace;
            CHECK(registry.nextExpiry() == until);
            CHECK_FALSE(registry.expire(until - 1ms));
            CHECK(registry.expire(until));
            CHECK(registry.servers().contains(name));
            CHECK(registry.nextExpiry() == never);
        }
        SUBCASE("While the store can't be reached nothing tells whether it lives")
        {
            registry.recordStoreUnreachable(back + 1s);
            CHECK_FALSE(registry.expire(back + 1min));
            CHECK_FALSE(registry.servers().contains(name));
            registry.recordStoreReachable(back + 1min);
            CHECK_FALSE(registry.expire(back + 1min));
            CHECK(registry.expire(back + 1min + 3 * renewal + grace));
            CHECK(registry.servers().contains(name));
        }
        SUBCASE("An outage that is shorter than a renewal period adds no more than itself")
        {
            registry.recordStoreUnreachable(back + 4s);
            CHECK(registry.nextExpiry() == never);
            registry.recordStoreReachable(back + 4s + 50ms);
            const auto until = back + 3 * renewal + grace + 50ms;
            CHECK(registry.nextExpiry() == until);
            CHECK_FALSE(registry.expire(until - 1ms));
            CHECK(registry.expire(until));
        }
        SUBCASE("However often calls fail, it is away for three times the period at most, not counting the outages")
        {
            Duration outage {};
            SUBCASE("short outages") { outage = 50ms; }
            SUBCASE("long outages") { outage = renewal; }
            CAPTURE(outage.count());
            Duration reachable {};
            for (auto now = back; now < back + 2min && !registry.expire(now); now += 4s + outage) {
                reachable += 4s;
                registry.recordStoreUnreachable(now + 4s);
                CHECK_FALSE(registry.expire(now + 4s));
                registry.recordStoreReachable(now + 4s + outage);
            }
            CHECK(registry.servers().contains(name));
            CHECK(reachable <= 3 * (3 * renewal + grace) + 4s);
        }
    }
    SUBCASE("Of an outage that began before the copy was read, only the rest counts")
    {
        registry.remove(name, start + 1s);
        registry.recordStoreUnreachable(back - 500ms);
        registry.replaceAllOfNewEpoch({ entryOf("s1", 5), entryOf("s2", 5) }, back);
        CHECK(registry.nextExpiry() == never);
        registry.recordStoreReachable(back + 100ms);
        CHECK(registry.nextExpiry() == back + 100ms + 3 * renewal + grace);
    }
    SUBCASE("A server that was draining when it was removed stays draining, should its entry of the copy last")
    {
        registry.put(entryOf("s1", 9, true));
        registry.remove(name, start + 2s);
        CHECK_FALSE(registry.replaceAllOfNewEpoch({ entryOf("s1", 8), entryOf("s2", 5) }, back));
        CHECK(registry.expire(back + 1min));
        CHECK(registry.servers().at(name).isDraining);
    }
    SUBCASE("A removed process is not brought back by the entry of an earlier one of that name")
    {
        registry.put(entryOf("s1", 1, false, 2000));
        registry.remove(name, start + 2s);
        CHECK_FALSE(registry.replaceAllOfNewEpoch({ entryOf("s1", 50, false, 1000), entryOf("s2", 5) }, back));
        CHECK(registry.heldBack() == 0);
        CHECK_FALSE(registry.expire(back + 1min));
        CHECK_FALSE(registry.servers().contains(name));

        SUBCASE("Its next process is taken at once")
        {
            CHECK(registry.put(entryOf("s1", 1, false, 3000)));
            CHECK(registry.servers().contains(name));
        }
    }
    SUBCASE("A removed server whose new process the copy lists is taken at once")
    {
        registry.remove(name, start + 1s);
        CHECK(registry.replaceAllOfNewEpoch({ entryOf("s1", 1, false, 2000), entryOf("s2", 5) }, back));
        CHECK(registry.servers().contains(name));
    }
}

}
