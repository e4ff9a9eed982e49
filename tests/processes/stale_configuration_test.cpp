#include "fleet_fixture.h"

#include "base/random_source.h"

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t gateways = 6;
constexpr Duration steadyDelay = 6s;
/// After it a stream with a steady delay arrives again, so that nobody notices a silence.
constexpr Duration steadyAfter = steadyDelay + 1s;
constexpr double maxCallsPerSecond = 40;

/// A fleet whose gateways, but one, get changes from other gateways.
struct SettledFleet : FleetFixture {
    SettledFleet()
        : FleetFixture(gateways)
    {
        REQUIRE(settle());
    }

    template <typename DelayOf>
    void setDelays(DelayOf delayOf)
    {
        for (std::size_t from = 0; from < size(); ++from) {
            for (std::size_t to = 0; to < size(); ++to) {
                if (from != to)
                    setDelay(from, to, delayOf(from, to));
            }
        }
    }
    /// Publishes one more configuration, and lets every gateway learn the store's revision.
    void makeKnown()
    {
        addRoute();
        REQUIRE(waitUntil([&] { return isInForceEverywhere(); }));
        runFor(1s);
    }
    void check(const ChangeOutcome& outcome)
    {
        CAPTURE(outcome.report);
        CHECK(outcome.late == "");
    }
};

}

TEST_SUITE_BEGIN("processes");

// Guards the other cases: without it a broken set-up would pass for the failure that they know.
TEST_CASE("Links between gateways delay all bytes by half a second: a change is in force everywhere within the limit")
{
    SettledFleet fleet;
    fleet.setDelays([&](std::size_t, std::size_t) { return 500ms; });
    fleet.runFor(1s);
    const auto outcome = fleet.playChange();
    fleet.check(outcome);
    CHECK(outcome.callsPerSecond <= maxCallsPerSecond);
}

// Guards against news that look fresh because their age is counted when they arrive.
TEST_CASE("Links of the gateway that reads the store delay all bytes: a change is in force everywhere within the limit")
{
    SettledFleet fleet;
    const auto first = fleet.first();
    fleet.setDelays([&](std::size_t from, std::size_t to) { return from == first || to == first ? steadyDelay : 0s; });
    fleet.runFor(steadyAfter);
    fleet.check(fleet.playChange());
}

// Guards against news that get later with each gateway that forwards them.
TEST_CASE("All links between gateways delay all bytes: a change is in force everywhere within the limit")
{
    SettledFleet fleet;
    fleet.setDelays([&](std::size_t, std::size_t) { return steadyDelay; });
    fleet.runFor(steadyAfter);
    fleet.check(fleet.playChange());
}

// Guards against a gateway that trusts late news as long as others come in time.
TEST_CASE("Some links delay all bytes, others each round: a change is in force everywhere within the limit")
{
    constexpr int rounds = 3;
    constexpr std::uint64_t seed = 2;
    CAPTURE(seed);
    SettledFleet fleet;
    SeededRandom random(seed);
    for (int round = 1; round <= rounds; ++round) {
        CAPTURE(round);
        fleet.setDelays([&](std::size_t, std::size_t) { return random.below(2) == 0 ? Duration {} : 2s + std::chrono::milliseconds(random.below(6000)); });
        fleet.runFor(3s);
        fleet.check(fleet.playChange());
    }
}

// Guards against revisions of a store that came back from an older copy being taken for known ones, and against calls without pause.
TEST_CASE("The store loses many revisions: the next configuration is in force everywhere within the limit")
{
    constexpr int lostRevisions = 400;
    SettledFleet fleet;
    fleet.store().saveCopy();
    for (int n = 0; n < lostRevisions; ++n)
        fleet.refreshServer();
    fleet.makeKnown();
    fleet.store().restoreCopy();
    const auto outcome = fleet.playChange();
    fleet.check(outcome);
    CHECK(outcome.callsPerSecond <= maxCallsPerSecond);
}

// Guards against a revision that is given out again being taken for the one that was lost, without any 410.
TEST_CASE("The store loses two revisions and gives them out again: the next configuration is in force everywhere within the limit")
{
    SettledFleet fleet;
    fleet.store().saveCopy();
    fleet.refreshServer();
    fleet.makeKnown();
    const auto lost = fleet.store().revision();
    fleet.store().restoreCopy();
    const auto outcome = fleet.playChange([&] {
        fleet.drainServer("a");
        CHECK(fleet.store().revision() == lost);
    });
    fleet.check(outcome);
    CHECK(outcome.callsPerSecond <= maxCallsPerSecond);
}

TEST_SUITE_END();
