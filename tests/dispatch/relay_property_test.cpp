#include "dispatch/relay_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

constexpr std::uint32_t serverCount = 6;

std::string serverName(std::uint64_t n)
{
    return "s" + std::to_string(n);
}

void reportHealthEvery(RelayTestBed& world, Duration interval)
{
    for (std::uint32_t i = 0; i < serverCount; ++i) {
        if (world.server(serverName(i)).isUp)
            world.reportHealth(serverName(i), world.server(serverName(i)).isDraining);
    }
    world.at(world.now() + interval, [&world, interval] { reportHealthEvery(world, interval); });
}

/// Does one random thing to the world.
void disturb(RelayTestBed& world, const std::vector<std::string>& relays, std::vector<std::pair<std::string, LegKey>>& sent)
{
    auto& random = world.random();
    const auto& relay = relays[random.below(relays.size())];
    const auto server = serverName(random.below(serverCount));
    switch (random.below(600)) {
    case 0:
        return world.crash(server);
    case 1:
        return world.dropConnection(server);
    case 2:
        world.server(server).isDraining = true;
        world.at(world.now() + 4s, [&world, server] { world.crash(server); });
        return;
    case 3:
        world.server(server).isHung = true;
        world.at(world.now() + 3s, [&world, server] {
            world.server(server).isHung = false;
            world.crash(server);
        });
        return;
    case 4:
        return world.reportHealth(server, random.below(2) == 0);
    case 5: {
        // Another view of the instances, held by this relay alone for a time.
        auto members = relays;
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(random.below(members.size())));
        world.at(world.now() + 1s, [&world, relay, relays] { world.publish(relay, relays); });
        return world.publish(relay, members);
    }
    case 6:
        world.server(server).isFailing = !world.server(server).isFailing;
        return;
    case 7:
        return world.loseEntry(relay);
    case 8:
    case 9:
        if (!sent.empty()) {
            const auto& [to, key] = sent[random.below(sent.size())];
            world.cancel(to, key);
        }
        return;
    default:
        const auto budget = Duration(static_cast<Duration::rep>(1000 + random.below(200000)));
        const auto key = world.send(relay, server, random.below(500), static_cast<Priority>(random.below(3)), budget);
        sent.emplace_back(relay, key);
    }
}

}

TEST_CASE("random events never break a promise of the relay" * doctest::test_suite("dispatch"))
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        RelayTestBed world(seed);
        const std::vector<std::string> relays { "i0", "i1", "i2", "i3" };
        for (std::uint32_t i = 0; i < serverCount; ++i)
            world.addServer({ serverName(i), i / 2 });
        for (const auto& it : relays)
            world.addRelay(it);
        world.publishAll();
        if (seed % 3 == 0)
            world.setPoison(7);
        reportHealthEvery(world, 500ms);
        std::vector<std::pair<std::string, LegKey>> sent;
        for (int i = 0; i < 2000; ++i) {
            disturb(world, relays, sent);
            world.runUntil(world.now() + Duration(static_cast<Duration::rep>(world.random().below(4000))));
        }
        world.runUntil(world.now() + 10s);
        REQUIRE_MESSAGE(world.violations().empty(), world.violations().front());
        CHECK(world.unanswered() == 0);
        CHECK(world.outcomes[LegOutcome::Ok] > 100);
    }
}

}
