#include "dispatch/relay_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

constexpr std::uint32_t serverCount = 6;

std::string serverName(std::uint64_t n)
{
    return "s" + std::to_string(n);
}

void reportHealthEvery(RelayTestBed& testBed, Duration interval)
{
    for (std::uint32_t i = 0; i < serverCount; ++i) {
        if (testBed.server(serverName(i)).isUp)
            testBed.reportHealth(serverName(i), testBed.server(serverName(i)).isDraining);
    }
    testBed.at(testBed.now() + interval, [&testBed, interval] { reportHealthEvery(testBed, interval); });
}

/// Applies one random event to the test bed.
void applyRandomEvent(RelayTestBed& testBed, const std::vector<std::string>& relays, std::vector<std::pair<std::string, LegKey>>& sent)
{
    auto& random = testBed.random();
    const auto& relay = relays[random.below(relays.size())];
    const auto server = serverName(random.below(serverCount));
    switch (random.below(600)) {
    case 0:
        return testBed.crash(server);
    case 1:
        return testBed.dropConnection(server);
    case 2:
        testBed.server(server).isDraining = true;
        testBed.at(testBed.now() + 4s, [&testBed, server] { testBed.crash(server); });
        return;
    case 3:
        testBed.server(server).isHung = true;
        testBed.at(testBed.now() + 3s, [&testBed, server] {
            testBed.server(server).isHung = false;
            testBed.crash(server);
        });
        return;
    case 4:
        return testBed.reportHealth(server, random.below(2) == 0);
    case 5: {
        // This relay alone sees another view of the instances for 1 s.
        auto members = relays;
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(random.below(members.size())));
        testBed.at(testBed.now() + 1s, [&testBed, relay, relays] { testBed.publish(relay, relays); });
        return testBed.publish(relay, members);
    }
    case 6:
        testBed.server(server).isFailing = !testBed.server(server).isFailing;
        return;
    case 7:
        return testBed.disconnectEntry(relay);
    case 8:
    case 9:
        if (!sent.empty()) {
            const auto& [to, key] = sent[random.below(sent.size())];
            testBed.cancel(to, key);
        }
        return;
    default:
        const auto budget = Duration(static_cast<Duration::rep>(1000 + random.below(200000)));
        const auto key = testBed.send(relay, server, random.below(500), static_cast<Priority>(random.below(3)), budget);
        sent.emplace_back(relay, key);
    }
}

}

TEST_CASE("The relay keeps its invariants under random events" * doctest::test_suite("dispatch"))
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        RelayTestBed testBed(seed);
        const std::vector<std::string> relays { "i0", "i1", "i2", "i3" };
        for (std::uint32_t i = 0; i < serverCount; ++i)
            testBed.addServer({ serverName(i), i / 2 });
        for (const auto& it : relays)
            testBed.addRelay(it);
        testBed.publishAll();
        if (seed % 3 == 0)
            testBed.setCrashingContent(7);
        reportHealthEvery(testBed, 500ms);
        std::vector<std::pair<std::string, LegKey>> sent;
        for (int i = 0; i < 2000; ++i) {
            applyRandomEvent(testBed, relays, sent);
            testBed.runUntil(testBed.now() + Duration(static_cast<Duration::rep>(testBed.random().below(4000))));
        }
        testBed.runUntil(testBed.now() + 10s);
        REQUIRE_MESSAGE(testBed.violations().empty(), testBed.violations().front());
        CHECK(testBed.unanswered() == 0);
        CHECK(testBed.outcomes[LegOutcome::Ok] > 100);
    }
}

}
