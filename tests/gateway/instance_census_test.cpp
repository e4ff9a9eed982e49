#include "gateway/instance_census.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("InstanceCensus counts the instances that refresh their objects" * doctest::test_suite("gateway"))
{
    InstanceCensus census;
    const TimePoint start { 1s };
    const auto sighting = [](const char* name, std::uint64_t version) {
        Instance instance;
        instance.name = InstanceName(name);
        return InstanceSighting { instance, ObjectVersion { version } };
    };
    CHECK(census.alive().empty());
    census.onList({ sighting("a", 1), sighting("b", 2), sighting("c", 3) }, start);
    CHECK(census.alive().size() == 3);

    SUBCASE("an instance whose object was not refreshed for three periods is no longer counted")
    {
        census.onList({ sighting("a", 10), sighting("b", 11), sighting("c", 3) }, start + InstanceCensus::refreshPeriod);
        CHECK(census.alive().size() == 3);
        census.onList({ sighting("a", 20), sighting("b", 21), sighting("c", 3) }, start + 3 * InstanceCensus::refreshPeriod);
        CHECK(census.alive().size() == 2);

        SUBCASE("the instance is counted again when its object is refreshed")
        {
            census.onList({ sighting("a", 20), sighting("b", 21), sighting("c", 30) }, start + 3 * InstanceCensus::refreshPeriod + 1s);
            CHECK(census.alive().size() == 3);
        }
    }
    SUBCASE("an instance whose object an older copy of the store lacks is counted until it has had the time to write it again")
    {
        census.recordNewEpoch(start + 20s);
        census.onList({ sighting("a", 1) }, start + 19s);
        CHECK(census.alive().size() == 3);
        SUBCASE("it wrote it")
        {
            census.onList({ sighting("a", 1), sighting("b", 7), sighting("c", 8) }, start + 20s);
            CHECK(census.alive().size() == 3);
        }
        SUBCASE("it didn't")
        {
            census.onList({ sighting("a", 1) }, start + 20s);
            CHECK(census.alive().size() == 1);
        }
    }
    SUBCASE("an instance whose object was deleted is not counted")
    {
        census.onList({ sighting("a", 1) }, start + 1s);
        CHECK(census.alive().size() == 1);
    }
}

}
