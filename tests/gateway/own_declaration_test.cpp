#include "gateway/own_declaration.h"

#include <doctest/doctest.h>

namespace lycheefield {

// A write that removes a role may be executed after a list that still shows it, and others then don't ask this process.
TEST_CASE("A role counts as declared only while no write that lacks it may be executed" * doctest::test_suite("gateway"))
{
    const RoleDeclaration none;
    const RoleDeclaration keeps { { { TeamName("parts"), QuotaRole::Keeper } }, false };
    OwnDeclaration own;
    CHECK(own.isLatest(none));
    CHECK(own.confirmed(keeps) == none);
    own.recordSent(keeps);
    CHECK(own.isLatest(keeps));
    CHECK(own.confirmed(keeps) == none);
    CHECK(own.recordWritten(keeps));
    CHECK(own.confirmed(keeps) == keeps);
    CHECK(own.confirmed(none) == none);

    SUBCASE("one that is in flight")
    {
        own.recordSent(none);
        CHECK(own.confirmed(keeps) == none);

        SUBCASE("until a later one that has the role succeeds, after which no earlier one can")
        {
            own.recordSent(keeps);
            CHECK(own.confirmed(keeps) == none);
            CHECK_FALSE(own.recordWritten(keeps));
            CHECK(own.confirmed(keeps) == keeps);
        }
        SUBCASE("or has succeeded after the list was read")
        {
            CHECK_FALSE(own.recordWritten(none));
            CHECK(own.confirmed(keeps) == none);
        }
    }
    SUBCASE("a store that came back from an older copy may hold an older object")
    {
        own.forget();
        CHECK(own.confirmed(keeps) == none);
        CHECK_FALSE(own.isLatest(keeps));
    }
}

}
