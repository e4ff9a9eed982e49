#include "dispatch/relay_test_bed.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

const std::vector<std::string> oldView { "i0", "i1" };
const std::vector<std::string> newView { "i2", "i3" };

}

TEST_CASE("two views of the instances at once" * doctest::test_suite("dispatch"))
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        RelayTestBed testBed(seed);
        // The smallest cap at which four holders have a control and a work connection each.
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
        // All four relays send at once, far more than the server can do.
        for (int i = 0; i < 4000; ++i) {
            testBed.send(relays[testBed.random().below(relays.size())], "s0", testBed.random().next());
            testBed.runUntil(testBed.now() + 1ms);
        }
        // World checks the cap at every connection, and the slots of each relay at every event.
        REQUIRE_MESSAGE(testBed.violations().empty(), testBed.violations().front());
        CHECK(testBed.peakConnections() <= cap - RelaySettings {}.reservedConnections);
        CHECK(testBed.peakLegsAtServer() > 2);
        CHECK(testBed.peakLegsAtServer() <= 4 * 2);

        // The views agree: the old holders close their connections and the slots are exact again.
        for (const auto& it : relays)
            testBed.publish(it, newView);
        testBed.runUntil(testBed.now() + 2s);
        CHECK(testBed.connectionsAt("s0") <= cap / 2);
        CHECK(testBed.unanswered() == 0);
    }
}

}
