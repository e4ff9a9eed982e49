#include "gateway/instance_census.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("InstanceCensus counts the instances that refresh their objects" * doctest::test_suite("gateway"))
{
    InstanceCensus census;
    const TimePoint start { 1s };
    const auto sighting = [](const char* name, std::uint64_t version, std::uint64_t refreshes = 0, std::uint64_t life = 1) {
        Instance instance;
        instance.name = InstanceName(name);
        instance.life = ProcessLife(life);
        return InstanceSighting { instance, ObjectVersion { version }, refreshes };
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
    SUBCASE("an instance whose object says that it has ended is not counted, until a new process writes it")
    {
        auto ended = sighting("c", 4, 2);
        ended.declared = RoleDeclaration { {}, true, true };
        census.onList({ sighting("a", 1), sighting("b", 2), ended }, start + 1s);
        CHECK(census.alive().size() == 2);
        // With a share more for each of the others, a restart gave out more than a server's limit until they counted it again.
        InstanceListing listing;
        census.describe(listing);
        CHECK(listing.instances.size() == 2);
        CHECK(listing.ended.size() == 1);
        // An older copy of the store brought an instance that had ended back into the ranking.
        census.recordNewEpoch(start + 20s);
        census.onList({ sighting("a", 1), sighting("b", 2), sighting("c", 3, 1) }, start + 2s);
        CHECK(census.alive().size() == 2);
        census.onList({ sighting("a", 1), sighting("b", 2), sighting("c", 5, 1, 2) }, start + 3s);
        CHECK(census.alive().size() == 3);
    }
    // A role that was declared after the copy was made looked free to the others.
    SUBCASE("an older copy takes back no declaration until its process has had the time to write it again")
    {
        const TeamRole keeper { TeamName("parts"), QuotaRole::Keeper };
        const auto declaring = [&](std::uint64_t refreshes, const std::set<TeamRole>& roles) {
            auto it = sighting("c", 3, refreshes);
            it.declared = RoleDeclaration { roles, false, false };
            return it;
        };
        const auto declared = [&] {
            InstanceListing listing;
            census.describe(listing);
            return listing.declared.at(InstanceName("c")).roles;
        };
        census.onList({ declaring(2, { keeper }) }, start + 1s);
        census.recordNewEpoch(start + 20s);
        census.onList({ declaring(1, {}) }, start + 2s);
        CHECK(declared() == std::set { keeper });
        census.onList({ declaring(3, {}) }, start + 20s);
        CHECK(declared().empty());
    }
    // With each machine that was ever replaced, all that start had one more object to list and one more instance to probe.
    SUBCASE("the object of an instance that was gone for long may be removed, as it was last seen")
    {
        const auto later = start + InstanceCensus::removableAfter;
        census.onList({ sighting("a", 10), sighting("b", 11), sighting("c", 3) }, later - 1s);
        CHECK(census.removable(later - 1s).empty());
        CHECK(census.removable(later) == std::map<InstanceName, ObjectVersion> { { InstanceName("c"), ObjectVersion { 3 } } });
        census.recordNewEpoch(later);
        CHECK(census.removable(later).empty());
        CHECK(census.removable(later + InstanceCensus::removableAfter).size() == 3);
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
    SUBCASE("an older copy of the store lists lower versions, which show no refresh by themselves")
    {
        const auto period = InstanceCensus::refreshPeriod;
        census.onList({ sighting("a", 10), sighting("b", 11), sighting("c", 12) }, start + period);
        census.onList({ sighting("a", 20), sighting("b", 11), sighting("c", 12) }, start + 4 * period);
        CHECK(census.alive().size() == 1);
        census.onList({ sighting("a", 9), sighting("b", 8), sighting("c", 7) }, start + 4 * period + 1s);
        CHECK(census.alive().size() == 1);

        SUBCASE("a refresh after it counts, also with a version that was given out before")
        {
            census.onList({ sighting("a", 9), sighting("b", 11), sighting("c", 7) }, start + 5 * period);
            CHECK(census.alive().size() == 2);
        }
        SUBCASE("a running instance is counted over it")
        {
            census.onList({ sighting("a", 12), sighting("b", 8), sighting("c", 7) }, start + 5 * period);
            census.onList({ sighting("a", 12), sighting("b", 8), sighting("c", 7) }, start + 8 * period - 1ms);
            CHECK(census.alive().size() == 1);
            census.onList({ sighting("a", 12), sighting("b", 8), sighting("c", 7) }, start + 8 * period);
            CHECK(census.alive().empty());
        }
    }
    SUBCASE("objects that tell their refreshes are judged by these, whatever versions an older copy of the store gives out again")
    {
        const auto period = InstanceCensus::refreshPeriod;
        const auto stale = start + 4 * period;
        census.onList({ sighting("a", 10, 5), sighting("b", 11, 5), sighting("c", 12, 5) }, start + period);
        census.onList({ sighting("a", 20, 6), sighting("b", 11, 5), sighting("c", 12, 5) }, stale);
        CHECK(census.alive().size() == 1);

        SUBCASE("objects of the copy, and those of the copy with other versions, show no life")
        {
            census.onList({ sighting("a", 9, 5), sighting("b", 8, 4), sighting("c", 7, 3) }, stale + 1s);
            CHECK(census.alive().size() == 1);
            census.onList({ sighting("a", 9, 5), sighting("b", 30, 4), sighting("c", 30, 5) }, stale + 2s);
            CHECK(census.alive().size() == 1);
        }
        SUBCASE("a refresh counts at a lower version, and at the version that was known")
        {
            census.onList({ sighting("a", 9, 5), sighting("b", 10, 6), sighting("c", 12, 6) }, stale + 1s);
            CHECK(census.alive().size() == 3);
        }
        SUBCASE("a new process counts")
        {
            census.onList({ sighting("a", 20, 6), sighting("b", 10, 1, 2), sighting("c", 12, 5) }, stale + 1s);
            CHECK(census.alive().size() == 2);
        }
        SUBCASE("the count of refreshes that was known before the copy stays known")
        {
            census.onList({ sighting("a", 20, 6), sighting("b", 8, 2), sighting("c", 12, 5) }, stale + 1s);
            census.onList({ sighting("a", 20, 6), sighting("b", 9, 5), sighting("c", 12, 5) }, stale + 2s);
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
