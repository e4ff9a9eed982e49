#include "routing/team_directory.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("TeamDirectory finds a team by each of its keys" * doctest::test_suite("routing"))
{
    const Team desk { TeamName("desk"), 1, 20.5, 3 };
    const Team vans { TeamName("vans"), 0, 0, 0 };
    const std::string longKey(8192, 'x');
    const TeamDirectory directory({ { desk, { "a", "b", "a" } }, { vans, { "c", longKey } } });
    REQUIRE(directory.findByKey("b"));
    CHECK(*directory.findByKey("a") == desk);
    CHECK(*directory.findByKey("b") == desk);
    CHECK(*directory.findByKey(longKey) == vans);
    CHECK_FALSE(directory.findByKey(longKey.substr(1)));
    CHECK_FALSE(directory.findByKey("A"));
    CHECK_FALSE(directory.findByKey(""));
    CHECK(directory.ambiguousKeys() == 0);
    CHECK(*directory.find(TeamName("vans")) == vans);
    CHECK_FALSE(directory.find(TeamName("none")));
    CHECK(desk.hasQuota());
    CHECK_FALSE(vans.hasQuota());

    SUBCASE("a key that several teams hold identifies none and is counted once")
    {
        const TeamDirectory ambiguous({ { desk, { "a", "s" } }, { vans, { "s", "c" } }, { { TeamName("third"), 0, 0, 0 }, { "s" } } });
        CHECK_FALSE(ambiguous.findByKey("s"));
        CHECK(ambiguous.findByKey("a")->name == desk.name);
        CHECK(ambiguous.findByKey("c")->name == vans.name);
        CHECK(ambiguous.ambiguousKeys() == 1);
    }
    SUBCASE("an empty key identifies no team, even if one lists it")
    {
        CHECK_FALSE(TeamDirectory({ { desk, { "" } } }).findByKey(""));
    }
    SUBCASE("directories of the same teams and keys are equal")
    {
        CHECK(directory == TeamDirectory({ { desk, { "a", "b", "a" } }, { vans, { "c", longKey } } }));
        CHECK_FALSE(directory == TeamDirectory({ { desk, { "a" } }, { vans, { "c", longKey } } }));
    }
}

}
