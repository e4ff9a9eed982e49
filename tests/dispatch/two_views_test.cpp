#include "dispatch/relay_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

const std::vector<std::string> oldView { "i0", "i1" };
const std::vector<std::string> newView { "i2", "i3" };

}

TEST_CASE("The relays keep within the connection cap and the slots while two views of the instances are in force" * doctest::test_suite("dispatch"))
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        RelayTestBed testBed(seed);
        // 10 is the smallest cap at which four holders have a control and a work connection each.
        const std::uint32_t cap = seed % 2 == 0 ? 25 : 10;
        testBed.addServer({ "s0", 0, 2, cap });
        for (const auto& view : { oldView, newView }) {
            for (const auto& it : view)
                testBed.addRelay(it);
        }
        for (const auto& view : { oldView, newView }) {
            for (const auto& it : view)
                testBed.publish(it, view);
        }
        const auto relays = [&] {
            std::vector<std::string> all = oldView;
            all.insert(all.end(), newView.begin(), newView.end());
            return all;
        }();
        // All four relays send at the same time, far more than the server's capacity.
        for (int i = 0; i < 4000; ++i) {
            testBed.send(relays[testBed.random().below(relays.size())], "s0", testBed.random().next());
            testBed.runUntil(testBed.now() + 1ms);
        }
        // The test bed checks the cap at every connection, and the slots of each relay at every event.
        REQUIRE_MESSAGE(testBed.violations().empty(), testBed.violations().front());
        CHECK(testBed.peakConnections() <= cap - RelaySettings {}.reservedConnections);
        CHECK(testBed.peakLegsAtServer() > 2);
        CHECK(testBed.peakLegsAtServer() <= 4 * 2);

        // Once the views agree, the old holders close their connections.
        for (const auto& it : relays)
            testBed.publish(it, newView);
        testBed.runUntil(testBed.now() + 2s);
        CHECK(testBed.connectionsAt("s0") <= cap / 2);
        CHECK(testBed.unanswered() == 0);
    }
}

}
