#include "admission/credential_check.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

Route route(bool isPublic)
{
    Route route;
    route.isPublic = isPublic;
    return route;
}

RouteTable tableOf(const std::vector<TeamKeys>& teams)
{
    RouteTable table;
    table.teams = std::make_shared<const TeamDirectory>(teams);
    return table;
}

const TeamKeys desk { { TeamName("desk"), 1, 0, 0 }, { "k1", "shared" } };
const TeamKeys vans { { TeamName("vans"), 0, 0, 0 }, { "k2", "shared" } };

}

TEST_CASE("A key admits its team's callers, and only while the configuration is known to be the latest" * doctest::test_suite("admission"))
{
    const auto table = tableOf({ desk, vans });
    const auto check = [&](std::string_view key, bool isFresh = true) { return checkCredential(table, route(false), key, isFresh); };

    SUBCASE("a key of one team admits the caller as that team")
    {
        const auto decision = check("k2");
        CHECK(decision.verdict == CredentialVerdict::Admitted);
        REQUIRE(decision.team);
        CHECK(decision.team->name == TeamName("vans"));
    }
    SUBCASE("no key, an unknown one, one in another case, one of 8 KB and one that two teams hold admit nobody")
    {
        for (const auto& key : { std::string(), std::string("k"), std::string("K1"), std::string("k1 "), std::string(8192, 'k'), std::string("shared") }) {
            CAPTURE(key);
            CHECK(check(key) == CredentialDecision { CredentialVerdict::Unknown, nullptr });
        }
    }
    SUBCASE("a configuration that may be outdated neither admits nor rejects a key")
    {
        CHECK(check("k1", false).verdict == CredentialVerdict::Unverifiable);
        CHECK(check("k1", false).team->name == TeamName("desk"));
        CHECK(check("unknown", false) == CredentialDecision { CredentialVerdict::Unverifiable, nullptr });
        CHECK(check("", false).verdict == CredentialVerdict::Unverifiable);
    }
    SUBCASE("a public route needs no key, names no team and works with an outdated configuration")
    {
        for (const auto* key : { "", "k1", "unknown" }) {
            CHECK(checkCredential(table, route(true), key, true) == CredentialDecision {});
            CHECK(checkCredential(table, route(true), key, false) == CredentialDecision {});
        }
    }
    SUBCASE("a configuration without teams admits every caller, an empty list of teams none")
    {
        CHECK(checkCredential({}, route(false), "k1", false) == CredentialDecision {});
        CHECK(checkCredential(tableOf({}), route(false), "k1", true).verdict == CredentialVerdict::Unknown);
        CHECK(checkCredential(tableOf({}), route(false), "", true).verdict == CredentialVerdict::Unknown);
    }
}

}
