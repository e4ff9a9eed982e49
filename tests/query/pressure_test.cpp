#include "query/pressure.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("the pressure on the servers of a search" * doctest::test_suite("query"))
{
    const QuerySettings settings;

    SUBCASE("nothing is known, or nothing waits: none")
    {
        CHECK(Pressure({}).value() == 0);
        CHECK(Pressure({ 0, 0 }).legsToShed(5, settings) == 0);
    }
    SUBCASE("one shard that can't be done in time hardly moves it")
    {
        std::vector<double> waits(20, 0.0);
        waits[3] = 50;
        CHECK(Pressure(waits).value() == doctest::Approx(0.05));
        CHECK(Pressure(waits).legsToShed(1, settings) == 0);
    }
    SUBCASE("it gives up a first leg, then more, and never more than can be spared")
    {
        const auto at = [&](double wait, std::size_t spare) { return Pressure(std::vector<double>(20, wait)).legsToShed(spare, settings); };
        CHECK(at(settings.minShedPressure.value - 0.01, 10) == 0);
        CHECK(at(settings.minShedPressure.value + 0.01, 1) == 1);
        CHECK(at(settings.minShedPressure.value + 0.01, 10) == 1);
        CHECK(at(0.48 * settings.minShedPressure.value + 0.52 * settings.fullShedPressure.value, 10) == 6);
        CHECK(at(1, 10) == 10);
        CHECK(at(1, 0) == 0);
    }
}

}
