#include "platform/platform_fixture.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_SUITE_BEGIN("platform");

// Guards against a call that is lost on a connection which the store had ended long before.
TEST_CASE("A call goes out on a new connection when the store has ended all idle ones")
{
    PlatformFixture platform;
    std::size_t answers = 0;
    std::optional<std::size_t> both;
    for (int i = 0; i < 2; ++i) {
        platform.store->read("k", [&](StoreStatus, const StoredObject&) {
            if (++answers == 2)
                both = answers;
        });
    }
    REQUIRE(platform.await(both) == 2);
    REQUIRE(platform.client->counters().connectionsOpened == 2);
    platform.server.stop();
    platform.context.restart();
    platform.context.poll();
    standin::PlatformServer next(platform.context);
    next.listen(platform.settings.endpoint.address, platform.settings.endpoint.port);

    SUBCASE("a write")
    {
        CHECK(platform.write("k", 0, "v").status == StoreStatus::Ok);
    }
    SUBCASE("a read")
    {
        CHECK(platform.read("k").status == StoreStatus::NotFound);
    }
    CHECK(platform.client->counters().lost == 0);
}

// Guards against a link whose fault has left all idle connections without a peer: each of them would cost a call its whole time.
TEST_CASE("After a call without a response on an idle connection the other idle ones serve no call")
{
    PlatformClientSettings settings;
    settings.callTimeout = 100ms;
    PlatformFixture platform(settings);
    std::size_t answers = 0;
    std::optional<std::size_t> both;
    for (int i = 0; i < 2; ++i) {
        platform.store->read("k", [&](StoreStatus, const StoredObject&) {
            if (++answers == 2)
                both = answers;
        });
    }
    REQUIRE(platform.await(both) == 2);
    platform.change([](auto& faults) { faults.delay = 1h; });
    CHECK(platform.write("k", 0, "v").status == StoreStatus::Lost);
    platform.change([](auto& faults) { faults.delay = {}; });
    REQUIRE(platform.client->counters().connectionsOpened == 2);
    platform.read("k");
    CHECK(platform.client->counters().connectionsOpened == 3);
}

TEST_SUITE_END();

}
