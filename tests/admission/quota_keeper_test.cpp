#include "admission/quota_keeper.h"

#include <doctest/doctest.h>

using namespace lycheefield;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("quota");

TEST_CASE("a keeper grants the permits of a team's quota")
{
    const TeamName team("parts");
    const AdmissionSettings settings;
    const TimePoint start(100s);
    QuotaKeeper keeper;
    keeper.start({ team, QuotaRole::Keeper }, quotaLimitsOf({ team, 0, 10, 20 }, settings), {}, start);
    const auto ask = [&](std::uint32_t requests, TimePoint now) {
        return keeper.answer({ 1, { { team, requests } } }, now).grants.at(0);
    };

    SUBCASE("the bucket starts empty, and the reply tells when it holds a permit")
    {
        const auto grant = ask(1, start);
        CHECK(grant.permits == 0);
        CHECK(grant.retryAfter == 100ms);
        CHECK(ask(1, start + 100ms).permits == 1);
    }
    SUBCASE("a full bucket holds the burst and what comes in within about a third of a second")
    {
        CHECK(ask(100, start + 60s).permits == 23);
        CHECK(ask(100, start + 61s).permits == 10);
    }
    SUBCASE("a call for one request brings a spare permit while the bucket is nearly full")
    {
        const auto grant = ask(1, start + 60s);
        CHECK(grant.permits == 2);
        CHECK(grant.lifetime == QuotaKeeper::spareLifetime);

        SUBCASE("but no more of them are outstanding than the slack allows")
        {
            std::uint32_t spares = 1;
            for (int i = 1; i < 15; ++i)
                spares += ask(1, start + 60s + i * 100ms).permits - 1;
            CHECK(spares <= quotaLimitsOf({ team, 0, 10, 20 }, settings).ahead);
        }
    }
    SUBCASE("requests that are still to come get at most half of the bucket, after those that wait")
    {
        const auto reply = keeper.answer({ 1, { { team, 3 }, { team, 100 } } }, start + 60s);
        REQUIRE(reply.grants.size() == 1);
        CHECK(reply.grants[0].permits == 13);
        CHECK(reply.grants[0].retryAfter == 0ms);
        CHECK(reply.grants[0].lifetime == QuotaKeeper::aheadLifetime);
    }
    SUBCASE("permits that are granted ahead count as part of the bucket beyond the slack for them, until they are lost")
    {
        const auto limits = quotaLimitsOf({ team, 0, 100, 20 }, settings);
        keeper.setLimits(team, limits, start);
        const auto ahead = keeper.answer({ 1, { { team, 1 }, { team, 100 } } }, start + 60s).grants.at(0).permits - 1;
        REQUIRE(ahead > limits.ahead);
        CHECK(ask(100, start + 60s + 450ms).permits <= limits.capacity - ahead + limits.ahead);
        CHECK(ask(100, start + 62s).permits == 55);
    }
    SUBCASE("a lowered quota applies to the permits in the bucket")
    {
        keeper.setLimits(team, quotaLimitsOf({ team, 0, 1, 2 }, settings), start + 60s);
        CHECK(ask(100, start + 60s).permits == 2);
        CHECK(ask(100, start + 61s).permits == 1);
    }
    SUBCASE("a raised quota refills at the new rate from now on, and not for the past")
    {
        ask(100, start + 60s);
        keeper.setLimits(team, quotaLimitsOf({ team, 0, 100, 200 }, settings), start + 61s);
        CHECK(ask(1000, start + 61s).permits == 10);
        CHECK(ask(1000, start + 62s).permits == 100);
    }
    SUBCASE("an instance that has given the role up grants nothing, and the one that takes it over grants what was left")
    {
        CHECK(ask(100, start + 1s).permits == 10);
        const auto credit = keeper.stop({ team, QuotaRole::Keeper }, start + 2s);
        CHECK(credit == QuotaCredit { 10, 0 });
        CHECK(keeper.answer({ 1, { { team, 1 } } }, start + 11s).grants.empty());
        CHECK(keeper.stop({ team, QuotaRole::Keeper }, start + 11s) == QuotaCredit());
        QuotaKeeper next;
        next.start({ team, QuotaRole::Keeper }, quotaLimitsOf({ team, 0, 10, 20 }, settings), credit, start + 12s);
        CHECK(next.answer({ 1, { { team, 100 } } }, start + 12s).grants.at(0).permits == 10);
        CHECK(next.answer({ 1, { { team, 100 } } }, start + 13s).grants.at(0).permits == 10);
    }
    SUBCASE("a standby grants a part of the slack")
    {
        keeper.stop({ team, QuotaRole::Keeper }, start);
        keeper.start({ team, QuotaRole::Standby }, quotaLimitsOf({ team, 0, 10, 20 }, settings), {}, start);
        CHECK(ask(100, start + 60s).permits == 3);
        CHECK(ask(100, start + 65s).permits == 3);
        // Otherwise callers took its few permits for the keeper's, while another instance still had that role.
        CHECK(keeper.answer({ 1, { { team, 1, true } } }, start + 70s).grants.empty());
    }
    SUBCASE("a standby without slack grants nothing and tells so")
    {
        AdmissionSettings strict;
        strict.quotaTolerance = Share { 0 };
        strict.quotaSlack = 0;
        keeper.stop({ team, QuotaRole::Keeper }, start);
        keeper.start({ team, QuotaRole::Standby }, quotaLimitsOf({ team, 0, 10, 20 }, strict), {}, start);
        CHECK(keeper.answer({ 1, { { team, 1 } } }, start + 60s).grants.empty());
    }
    SUBCASE("a team that it doesn't keep gets no grant")
    {
        CHECK(keeper.answer({ 1, { { TeamName("other"), 1 } } }, start).grants.empty());
    }
}

TEST_CASE("the parts of a quota together stay within tolerance and slack")
{
    const AdmissionSettings settings;
    for (const double rate : { 0.05, 0.5, 3.0, 18.0, 400.0, 20'000.0 }) {
        for (const double burst : { 0.5, 1.0, rate, 10 * rate }) {
            CAPTURE(rate);
            CAPTURE(burst);
            const auto it = quotaLimitsOf({ TeamName("parts"), 0, rate, burst }, settings);
            const auto keeper = it.capacity + 5 * it.ratePerSecond + it.ahead;
            const auto others = it.standbyCapacity + 5 * it.standbyRatePerSecond + it.ownPermits;
            const auto travelling = 0.1 * rate;
            CHECK(keeper + others + travelling <= (5 * rate + burst) * 1.1 + 20);
        }
    }
}

TEST_SUITE_END();
