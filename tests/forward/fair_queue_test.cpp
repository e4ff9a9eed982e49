#include "forward/fair_queue.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

namespace lycheefield {

namespace {

WaitingLeg legOf(const std::string& team, std::uint64_t request, std::uint32_t routeRank = 0, std::uint32_t teamRank = 0)
{
    return { teamRank, routeRank, TeamName(team), RequestNumber(request), 0 };
}

/// Sends the next leg and returns it.
WaitingLeg sendNext(FairQueue& queue)
{
    const auto leg = queue.next();
    queue.recordSent(leg);
    return leg;
}

std::map<std::string, int> sendMany(FairQueue& queue, int count)
{
    std::map<std::string, int> sent;
    for (int i = 0; i < count; ++i)
        ++sent[sendNext(queue).team.value()];
    return sent;
}

}

TEST_CASE("Waiting legs without a team go by the route's rank, then by age, then by leg, whatever the order of arrival" * doctest::test_suite("forward"))
{
    constexpr std::uint64_t seed = 5;
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    FairQueue queue;
    std::set<std::tuple<std::uint32_t, std::uint64_t, std::size_t>> expected;
    for (int i = 0; i < 2000; ++i) {
        const WaitingLeg leg { 0, static_cast<std::uint32_t>(random() % 3), {}, RequestNumber(random() % 60), random() % 4 };
        const auto key = std::tuple(leg.routeRank, leg.request.value(), leg.leg);
        switch (random() % 4) {
        case 0:
            queue.erase(leg);
            expected.erase(key);
            break;
        case 1:
            if (!expected.empty()) {
                const auto sent = sendNext(queue);
                REQUIRE(std::tuple(sent.routeRank, sent.request.value(), sent.leg) == *expected.begin());
                expected.erase(expected.begin());
            }
            break;
        default:
            queue.insert(leg);
            expected.insert(key);
        }
        REQUIRE(queue.size() == expected.size());
        REQUIRE(queue.isEmpty() == expected.empty());
        REQUIRE(queue.trackedTeams() <= 3);
    }
}

TEST_CASE("The priority of the team goes before that of the route, and both go before fairness and age" * doctest::test_suite("forward"))
{
    FairQueue queue;
    queue.insert(legOf("usual", 1, 0, 1));
    queue.insert(legOf("urgent", 2, 2, 0));
    queue.insert(legOf("urgent", 3, 1, 0));
    CHECK(queue.countAhead(legOf("usual", 1, 0, 1)) == 2);
    CHECK(sendNext(queue).request == RequestNumber(3));
    CHECK(sendNext(queue).request == RequestNumber(2));
    CHECK(sendNext(queue).request == RequestNumber(1));
    CHECK(queue.isEmpty());
}

TEST_CASE("A team that has many legs waiting takes no turn of the others" * doctest::test_suite("forward"))
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 100; ++i)
        queue.insert(legOf("many", i));
    for (std::uint64_t i = 0; i < 10; ++i) {
        queue.insert(legOf("few", 1000 + i));
        queue.insert(legOf("some", 2000 + i));
    }
    SUBCASE("Each gets the same number of turns while all wait, and the rest goes to the one that still waits")
    {
        const auto sent = sendMany(queue, 30);
        CHECK(sent.at("many") == 10);
        CHECK(sent.at("few") == 10);
        CHECK(sent.at("some") == 10);
        CHECK(sendMany(queue, 90) == std::map<std::string, int> { { "many", 90 } });
    }
    SUBCASE("A team that stays away saves no turns for later")
    {
        for (std::uint64_t i = 0; i < 10; ++i)
            queue.erase(legOf("few", 1000 + i));
        sendMany(queue, 20);
        for (std::uint64_t i = 0; i < 10; ++i)
            queue.insert(legOf("few", 3000 + i));
        CHECK(sendMany(queue, 10).at("few") == 5);
    }
    SUBCASE("A team whose legs are sent without waiting uses up its turns")
    {
        for (std::uint64_t i = 0; i < 5; ++i)
            queue.recordSent(legOf("direct", 4000 + i));
        queue.insert(legOf("direct", 5000));
        CHECK(sendMany(queue, 15).count("direct") == 0);
        CHECK(sendMany(queue, 4).at("direct") == 1);
    }
    SUBCASE("The number of legs ahead is that which is sent before")
    {
        const auto own = legOf("few", 1003);
        const auto ahead = queue.countAhead(own);
        std::size_t before = 0;
        while (sendNext(queue) != own)
            ++before;
        CHECK(ahead >= before);
        CHECK(ahead <= before + 2);
    }
}

// Teams come and go at random, some by bursts. The turns of two teams that both wait must never drift apart.
TEST_CASE("Teams that wait together get equal turns however many legs each has, and state stays bounded by the teams" * doctest::test_suite("forward"))
{
    for (const std::uint64_t seed : { 1, 2, 3, 4, 5, 6, 7, 8 }) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        FairQueue queue;
        std::uint64_t number = 0;
        std::map<std::string, std::size_t> waiting;
        std::map<std::string, int> turns;
        const auto insert = [&](const std::string& team) {
            queue.insert(legOf(team, ++number));
            ++waiting[team];
        };
        for (int i = 0; i < 4000; ++i) {
            const auto burst = random() % 100 == 0 ? 50 : 1;
            const auto team = "team" + std::to_string(random() % 12);
            for (int k = 0; k < burst; ++k)
                insert(team);
            // Two teams always wait, one of them with many legs.
            while (waiting["steady"] < 2)
                insert("steady");
            while (waiting["many"] < 40)
                insert("many");
            const auto sent = sendNext(queue).team.value();
            --waiting[sent];
            ++turns[sent];
            REQUIRE(std::abs(turns["steady"] - turns["many"]) <= 1);
            REQUIRE(turns[sent] <= turns["steady"] + 1);
            REQUIRE(queue.trackedTeams() <= 14);
        }
    }
}

}
