#include "routing/split_picker.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("The split picker distributes requests by weight" * doctest::test_suite("routing"))
{
    Route route;
    route.name = "split";
    route.targets = { { ServiceName("a"), 3 }, { ServiceName("b"), 1 } };
    SplitPicker picker;
    std::map<ServiceName, int> counts;
    const auto pickMany = [&](int n) {
        for (int i = 0; i < n; ++i)
            ++counts[picker.pick(route)];
    };

    SUBCASE("Each service gets its share of a short sequence of requests")
    {
        pickMany(8);
        CHECK(counts[ServiceName("a")] == 6);
        CHECK(counts[ServiceName("b")] == 2);
    }
    SUBCASE("New weights apply from the next request")
    {
        pickMany(5);
        counts.clear();
        route.targets = { { ServiceName("a"), 1 }, { ServiceName("b"), 1 } };
        pickMany(10);
        CHECK(counts[ServiceName("a")] == 5);
        CHECK(counts[ServiceName("b")] == 5);
    }
    SUBCASE("A route that was removed and added again starts with fresh state")
    {
        pickMany(3);
        picker.keepOnly({});
        counts.clear();
        pickMany(4);
        CHECK(counts[ServiceName("a")] == 3);
    }
}

}
