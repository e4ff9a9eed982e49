#include "store_client_settings.h"

#include "settings/settings.h"

#include <doctest/doctest.h>

using namespace lycheefield;

// Guards against a gateway that calls the store only seconds after an outage: its changes are to be in force within 3 s from 4 s after it on.
TEST_CASE("The calls of a gateway to the store pause for half a second at most, however long the back-off may be" * doctest::test_suite("adapter"))
{
    Settings settings;
    SUBCASE("by default") { }
    SUBCASE("with a longer back-off")
    {
        settings.platform.backoffMaximum = 10min;
    }
    CHECK(storeClientSettings(settings).maxBackoff == 500ms);
}

TEST_CASE("A shorter back-off of a gateway also shortens the pause of its calls" * doctest::test_suite("adapter"))
{
    Settings settings;
    settings.platform.backoffMaximum = 200ms;
    CHECK(storeClientSettings(settings).maxBackoff == 200ms);
}
