#include "query/pressure.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("The pressure on a search's servers decides how many legs are shed" * doctest::test_suite("query"))
{
    const QuerySettings settings;

    SUBCASE("The pressure is zero when no load is known or nothing is queued")
    {
        CHECK(Pressure({}).value() == 0);
        CHECK(Pressure({ 0, 0 }).legsToShed(5, settings) == 0);
    }
    SUBCASE("One overloaded shard hardly changes the pressure")
    {
        std::vector<double> waits(20, 0.0);
        waits[3] = 50;
        CHECK(Pressure(waits).value() == doctest::Approx(0.05));
        CHECK(Pressure(waits).legsToShed(1, settings) == 0);
    }
    SUBCASE("A search sheds more legs with growing pressure, and never more than its rule can spare")
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
