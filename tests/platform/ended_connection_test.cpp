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

TEST_SUITE_END();

}
