#include "membership/membership_engine.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

// Guards against an instance that holds all others for dead because its own process lacked descriptors.
TEST_CASE("Probes that an instance lacks the resources to send are no evidence against other instances" * doctest::test_suite("membership"))
{
    constexpr std::uint64_t seed = 20261207;
    CAPTURE(seed);
    SeededRandom random(seed);
    std::vector<Instance> instances;
    for (const auto* name : { "i0", "i1", "i2", "i3" })
        instances.push_back({ InstanceName(name), ProcessLife(1), {}, {}, ZoneName("a"), InstanceHealth::Alive });
    TimePoint now { 1s };
    MembershipEngine engine(instances.front(), {}, random, now);
    MembershipActions actions;
    engine.onListed(instances, now, actions);
    const auto runFor = [&](Duration duration, bool lacksResources) {
        for (const auto end = now + duration; now < end; now = std::max(now + 1us, engine.nextTimer())) {
            actions.clear();
            engine.onTimer(now, actions);
            for (const auto& it : actions) {
                if (const auto* gossip = std::get_if<SendGossip>(&it); gossip && lacksResources)
                    engine.onNotSent(gossip->to);
            }
        }
    };

    runFor(60s, true);
    CHECK(engine.counts().probes > 100);
    CHECK(engine.counts().suspicions == 0);
    for (const auto& [name, it] : engine.view().instances())
        CHECK((it.health == InstanceHealth::Alive));

    SUBCASE("while probes that were sent and not answered are")
    {
        runFor(60s, false);
        CHECK(engine.counts().suspicions == 3);
    }
}

}
