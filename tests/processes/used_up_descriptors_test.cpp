#include "burst_fixture.h"

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t fewDescriptors = 128;
/// More than the callers' searches want.
constexpr std::uint64_t manyDescriptors = 1024;
constexpr Duration slowAnswer = 1s;
/// Longer than any caller waits.
constexpr Duration noAnswer = 30s;

const std::string complete = "status 200, parts missing: 0";

/// Follows the changes until the limit has passed.
void checkLimits(BurstFixture& fixture)
{
    fixture.awaitLimit();
    MESSAGE(fixture.report());
    CAPTURE(fixture.storeLines());
    CHECK(fixture.isRouteInForce());
    CHECK(fixture.lateRequests() == 0);
}

void checkChanges(BurstFixture& fixture)
{
    fixture.addRoute();
    fixture.drainServers();
    checkLimits(fixture);
}

}

TEST_SUITE_BEGIN("bursts");

// Guards the other cases: without it a broken set-up would pass for the failure that they know.
TEST_CASE("A burst of requests to servers leaves a gateway descriptors: changes are in force within the limit, and servers serve on")
{
    BurstFixture fixture(manyDescriptors);
    fixture.beginBurst(slowAnswer);
    checkChanges(fixture);
    fixture.checkReadiness();
    CHECK(fixture.failedChecks() == 0);
    CHECK(fixture.mostDescriptors() > fewDescriptors);
    fixture.endBurst();
    CHECK(fixture.searchQuickServers() == complete);
    CHECK(fixture.searchSlowServers() == complete);
}

// Guards against calls to the store that find no descriptor.
TEST_CASE("Requests to servers would use up a gateway's descriptors: a new configuration is in force within the limit")
{
    BurstFixture fixture(fewDescriptors);
    SUBCASE("Servers answer slowly") { fixture.beginBurst(slowAnswer); }
    SUBCASE("Servers never answer") { fixture.beginBurst(noAnswer); }
    // It ends a watch that found a descriptor before, so that the next change needs another.
    fixture.addRoute();
    fixture.run(1s);
    fixture.addRoute();
    checkLimits(fixture);
}

// Guards against servers that are still chosen because the gateway can't ask the store.
TEST_CASE("Requests to servers would use up a gateway's descriptors: no request reaches a draining server after the limit")
{
    BurstFixture fixture(fewDescriptors);
    SUBCASE("Servers answer slowly") { fixture.beginBurst(slowAnswer); }
    SUBCASE("Servers never answer") { fixture.beginBurst(noAnswer); }
    fixture.drainServers();
    checkLimits(fixture);
}

// Guards against a balancer that takes the gateway for dead.
TEST_CASE("Requests to servers would use up a gateway's descriptors: readiness checks are answered")
{
    BurstFixture fixture(fewDescriptors);
    SUBCASE("Servers answer slowly") { fixture.beginBurst(slowAnswer); }
    SUBCASE("Servers never answer") { fixture.beginBurst(noAnswer); }
    fixture.checkReadiness();
    MESSAGE(fixture.report());
    CAPTURE(fixture.storeLines());
    CHECK(fixture.failedChecks() == 0);
}

// Guards against servers that are avoided because the gateway had no descriptor for them, and against idle connections that keep all.
TEST_CASE("Requests to servers would have used up a gateway's descriptors: once they end, sound servers serve at once")
{
    BurstFixture fixture(fewDescriptors);
    SUBCASE("Servers answered slowly")
    {
        fixture.beginBurst(slowAnswer);
        fixture.endBurst();
        SUBCASE("Others are asked") { CHECK(fixture.searchQuickServers() == complete); }
        SUBCASE("They are asked again, and answer at once") { CHECK(fixture.searchSlowServers() == complete); }
    }
    SUBCASE("Servers never answered, and others are asked")
    {
        fixture.beginBurst(noAnswer);
        fixture.endBurst();
        CHECK(fixture.searchQuickServers() == complete);
    }
    MESSAGE(fixture.report());
}

// Guards against a share for servers that counts on descriptors which callers hold.
TEST_CASE("Callers and requests to servers would use up a gateway's descriptors together: changes are in force within the limit")
{
    BurstFixture fixture(fewDescriptors);
    fixture.fillCallers();
    fixture.beginBurst(slowAnswer);
    checkChanges(fixture);
}

TEST_SUITE_END();
