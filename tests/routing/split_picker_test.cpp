#include "routing/split_picker.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("a split deals requests out by weight" * doctest::test_suite("routing"))
{
    Route route;
    route.name = "split";
    route.targets = { { ServiceName("a"), 3 }, { ServiceName("b"), 1 } };
    SplitPicker picker;
    std::map<ServiceName, int> counts;
    const auto deal = [&](int n) {
        for (int i = 0; i < n; ++i)
            ++counts[picker.pick(route)];
    };

    SUBCASE("each service gets its share of every short run")
    {
        deal(8);
        CHECK(counts[ServiceName("a")] == 6);
        CHECK(counts[ServiceName("b")] == 2);
    }
    SUBCASE("new weights hold from the next request")
    {
        deal(5);
        counts.clear();
        route.targets = { { ServiceName("a"), 1 }, { ServiceName("b"), 1 } };
        deal(10);
        CHECK(counts[ServiceName("a")] == 5);
        CHECK(counts[ServiceName("b")] == 5);
    }
    SUBCASE("a route that went and came back begins anew")
    {
        deal(3);
        picker.keepOnly({});
        counts.clear();
        deal(4);
        CHECK(counts[ServiceName("a")] == 3);
    }
}

}
