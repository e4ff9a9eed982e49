#include "quota_role_log.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace lycheefield::soak;

TEST_CASE("The logs of gateways show whether two had a role at the same time" * doctest::test_suite("soak"))
{
    QuotaRoleLog log;
    const auto add = [&](const char* gateway, const char* text) {
        std::istringstream in(text);
        log.add(gateway, in);
    };
    add("g0", R"({"at_us":10,"event":"quota role gained","team":"t","role":"keeper","permits":"0"}
        {"at_us":15,"event":"other"}
        {"at_us":20,"event":"quota role lost","team":"t","role":"keeper","permits":"0"})");

    SUBCASE("One that gains it when the other has lost it doesn't overlap, nor one that has another role")
    {
        add("g1", R"({"at_us":20,"event":"quota role gained","team":"t","role":"keeper","permits":"0"}
            {"at_us":12,"event":"quota role gained","team":"t","role":"standby","permits":"0"}
            {"at_us":30,"event":"other"})");
        CHECK(log.overlaps() == 0);
        CHECK(log.gains() == 3);
    }
    SUBCASE("One that gains it before does")
    {
        add("g1", R"({"at_us":19,"event":"quota role gained","team":"t","role":"keeper","permits":"0"}
            {"at_us":30,"event":"other"})");
        CHECK(log.overlaps() == 1);
    }
    SUBCASE("A process that was killed had it until its last line")
    {
        add("g1", R"({"at_us":5,"event":"quota role gained","team":"t","role":"keeper","permits":"0"}
            {"at_us":9,"event":"other"}
            {"at_us":18,"event":"started"})");
        CHECK(log.overlaps() == 0);
    }
}
