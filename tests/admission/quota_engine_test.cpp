#include "admission/quota_engine.h"

#include "support/instance_listings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

/// An instance that keeps no quota itself, and the two that keep the team's.
struct Asker {
    TeamName team { "parts" };
    std::vector<Instance> instances;
    std::vector<InstanceName> ranked; ///< Keeper, standby, and an instance without a role.
    std::unique_ptr<QuotaEngine> engine;
    TimePoint now { 1000s };
    QuotaActions actions;
    std::uint64_t requests = 0;

    Asker()
    {
        for (const auto* it : { "a", "b", "c" })
            instances.push_back({ InstanceName(it), {}, {}, {}, {} });
        QuotaRanking ranking;
        ranking.setTeams({ team });
        ranking.setInstances(instances);
        ranked.resize(3);
        for (const auto& it : instances)
            ranked[ranking.rankOf(team, it.name)] = it.name;
        engine = std::make_unique<QuotaEngine>(ranked[2], AdmissionSettings(), 1);
        engine->setTeams({ { team, 0, 10, 20 } }, now, actions);
        // It has been listed for long, so that all others count it.
        const auto listedAt = now - 2min;
        engine->setInstances(latestListing(instances, listedAt), listedAt, actions);
        engine->setInstances(latestListing(instances, now), now, actions);
    }
    void request()
    {
        actions.clear();
        engine->onRequest(RequestNumber(++requests), team, now, actions);
    }
    void grant(const InstanceName& from, std::uint32_t permits, Duration retryAfter = {})
    {
        actions.clear();
        engine->onReply(from, { call.sequence, { { team, permits, 500ms, retryAfter } } }, now, actions);
    }
    void pass(Duration time)
    {
        actions.clear();
        now += time;
        engine->onTimer(now, actions);
    }
    /// Whether the only action is a call of this instance; keeps the call.
    bool asks(const InstanceName& instance)
    {
        const auto* asked = actions.size() == 1 ? std::get_if<AskKeeper>(actions.data()) : nullptr;
        if (!asked || asked->instance != instance)
            return false;
        call = asked->call;
        return true;
    }
    template <typename Action>
    std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const auto& it) { return std::holds_alternative<Action>(it); }));
    }
    QuotaCall call;
};

}

TEST_SUITE_BEGIN("quota");

TEST_CASE("an instance asks a team's keeper for permits")
{
    Asker asker;
    asker.request();
    REQUIRE(asker.asks(asker.ranked[0]));
    CHECK(asker.call.wishes == std::vector<QuotaWish> { { asker.team, 1, true } });

    SUBCASE("requests that come meanwhile wait without another call, which follows for all of them")
    {
        asker.request();
        asker.request();
        CHECK(asker.actions.empty());
        asker.grant(asker.ranked[0], 1);
        CHECK(asker.count<AdmitRequest>() == 1);
        REQUIRE(asker.count<AskKeeper>() == 1);
        CHECK(std::get<AskKeeper>(asker.actions.back()).call.wishes.at(0).requests == 2);
    }
    SUBCASE("a permit that is left admits a later request at once")
    {
        asker.grant(asker.ranked[0], 2);
        asker.request();
        CHECK(asker.count<AdmitRequest>() == 1);
        CHECK(asker.actions.size() == 1);
    }
    SUBCASE("a permit that is left is lost after its lifetime, counted from the sending of the call")
    {
        asker.now += 30ms;
        asker.grant(asker.ranked[0], 2);
        asker.now += 470ms;
        asker.request();
        CHECK(asker.asks(asker.ranked[0]));
    }
    SUBCASE("a denied team's requests are refused without a call until its next credit")
    {
        asker.grant(asker.ranked[0], 0, 700ms);
        REQUIRE(asker.count<RefuseRequest>() == 1);
        CHECK(std::get<RefuseRequest>(asker.actions[0]).retryAfter == 700ms);
        asker.now += 600ms;
        asker.request();
        REQUIRE(asker.count<RefuseRequest>() == 1);
        CHECK(std::get<RefuseRequest>(asker.actions[0]).retryAfter == 100ms);
        asker.now += 100ms;
        asker.request();
        CHECK(asker.asks(asker.ranked[0]));
    }
    SUBCASE("a changed quota ends a denial")
    {
        asker.grant(asker.ranked[0], 0, 700ms);
        asker.engine->setTeams({ { asker.team, 0, 30, 20 } }, asker.now, asker.actions);
        asker.request();
        CHECK(asker.asks(asker.ranked[0]));
    }
    SUBCASE("a keeper that doesn't answer in time is passed over for the standby, and its late answer is ignored")
    {
        const auto late = asker.call;
        asker.pass(81ms);
        REQUIRE(asker.asks(asker.ranked[1]));
        asker.actions.clear();
        asker.engine->onReply(asker.ranked[0], { late.sequence, { { asker.team, 1, 500ms, {} } } }, asker.now, asker.actions);
        CHECK(asker.actions.empty());
        asker.grant(asker.ranked[1], 1);
        CHECK(asker.count<AdmitRequest>() == 1);

        SUBCASE("and a denial of the standby lasts a second at most, since the keeper may answer again")
        {
            asker.request();
            REQUIRE(asker.asks(asker.ranked[1]));
            asker.grant(asker.ranked[1], 0, 1h);
            REQUIRE(asker.count<RefuseRequest>() == 1);
            CHECK(std::get<RefuseRequest>(asker.actions[0]).retryAfter == 1s);
            // Callers within the quota were told that they are over it.
            CHECK(std::get<RefuseRequest>(asker.actions[0]).why == QuotaRefusal::PartGranted);
        }
        SUBCASE("and once it has answered, its next answer is expected sooner")
        {
            asker.request();
            asker.pass(41ms);
            CHECK(asker.count<AskKeeper>() == 0);
            CHECK(asker.count<RefuseRequest>() == 1);
        }
        SUBCASE("and is avoided for a while")
        {
            asker.request();
            CHECK(asker.asks(asker.ranked[1]));
            asker.grant(asker.ranked[1], 1);
            asker.now += 250ms;
            asker.request();
            CHECK(asker.asks(asker.ranked[0]));
        }
    }
    SUBCASE("a process that was stalled first reads an answer that may have arrived")
    {
        asker.pass(120ms);
        CHECK(asker.actions.empty());
        asker.pass(12ms);
        CHECK(asker.asks(asker.ranked[1]));
    }
    SUBCASE("when neither keeper nor standby answers, the instance uses a permit of its own in each window")
    {
        const auto failBoth = [&] {
            asker.actions.clear();
            asker.engine->onUndelivered(asker.call.sequence, asker.now, asker.actions);
            REQUIRE(asker.asks(asker.ranked[1]));
            asker.actions.clear();
            asker.engine->onUndelivered(asker.call.sequence, asker.now, asker.actions);
        };
        failBoth();
        REQUIRE(asker.count<RefuseRequest>() == 1);
        // Callers were told that they are over the quota, where nobody counted their requests.
        CHECK(std::get<RefuseRequest>(asker.actions[0]).why == QuotaRefusal::NotGranted);
        asker.now += 10s;
        asker.request();
        REQUIRE(asker.asks(asker.ranked[0]));
        failBoth();
        CHECK(asker.count<AdmitRequest>() == 1);
        asker.request();
        CHECK(asker.count<RefuseRequest>() == 1);
    }
    // Its share and those of the others added up to more than all of them while they counted fewer instances.
    SUBCASE("an instance that others may not count yet, or that has no list for long, uses no permit of its own")
    {
        QuotaEngine added(asker.ranked[2], AdmissionSettings(), 2);
        const auto admits = [&] {
            QuotaActions actions;
            added.onRequest(RequestNumber(++asker.requests), asker.team, asker.now, actions);
            for (std::size_t i = 0; i < actions.size(); ++i) {
                if (const auto* asked = std::get_if<AskKeeper>(&actions[i]))
                    added.onUndelivered(asked->call.sequence, asker.now, actions);
            }
            return std::any_of(actions.begin(), actions.end(), [](const auto& it) { return std::holds_alternative<AdmitRequest>(it); });
        };
        QuotaActions actions;
        added.setTeams({ { asker.team, 0, 10, 20 } }, asker.now, actions);
        added.setInstances(latestListing(asker.instances, asker.now), asker.now, actions);
        asker.now += 100s;
        added.setInstances(latestListing(asker.instances, asker.now), asker.now, actions);
        CHECK(!admits());
        asker.now += 30s;
        CHECK(admits());
        asker.now += 100s;
        CHECK(!admits());
    }
    SUBCASE("calls that its own process lacked the resources to send make it avoid no keeper for long")
    {
        for (int i = 0; i < 10; ++i) {
            asker.actions.clear();
            asker.engine->onNotSent(asker.call.sequence, asker.now, asker.actions);
            REQUIRE(asker.asks(asker.ranked[1]));
            asker.actions.clear();
            asker.engine->onNotSent(asker.call.sequence, asker.now, asker.actions);
            CHECK(asker.count<AskKeeper>() == 0);
            asker.now += 1s;
            asker.request();
            REQUIRE(asker.asks(asker.ranked[0]));
        }
    }
    SUBCASE("a request whose caller has left uses no permit")
    {
        asker.engine->onCancel(RequestNumber(1), asker.team);
        asker.grant(asker.ranked[0], 1);
        CHECK(asker.actions.empty());
        asker.request();
        CHECK(asker.count<AdmitRequest>() == 1);
    }
    SUBCASE("a team whose quota is removed has its waiting requests admitted")
    {
        asker.actions.clear();
        asker.engine->setTeams({}, asker.now, asker.actions);
        CHECK(asker.count<AdmitRequest>() == 1);
        asker.grant(asker.ranked[0], 1);
        CHECK(asker.actions.empty());
    }
}

// Otherwise the team had no keeper when the ones before it in the ranking stopped too: nobody knew that the next in line had gone.
TEST_CASE("an instance without a role resigns too")
{
    Asker asker;
    asker.actions.clear();
    asker.engine->resign(asker.now, asker.actions);
    CHECK(asker.count<AnnounceResignation>() == 2);
}

TEST_CASE("a keeper grants only while no other instance can")
{
    Asker asker;
    QuotaEngine keeper(asker.ranked[0], AdmissionSettings(), 1);
    QuotaActions actions;
    auto now = asker.now;
    keeper.setTeams({ { asker.team, 0, 10, 20 } }, now, actions);
    const auto permits = [&] {
        actions.clear();
        keeper.onCall(asker.ranked[2], { 1, { { asker.team, 3 } } }, now, actions);
        const auto& grants = std::get<AnswerCall>(actions.at(0)).reply.grants;
        return grants.empty() ? -1 : static_cast<int>(grants[0].permits);
    };
    const auto pass = [&](Duration time) {
        for (; time > 0s; time -= 1s) {
            now += 1s;
            actions.clear();
            keeper.onTimer(now, actions);
        }
    };
    const auto list = [&](InstanceListing listing) {
        actions.clear();
        listing.declared[asker.ranked[0]].roles = { { asker.team, QuotaRole::Keeper } };
        keeper.setInstances(listing, now, actions);
    };
    /// Answers the claims that the keeper has just sent.
    const auto answer = [&](RoleVerdict verdict, QuotaCredit credit = {}) {
        std::vector<OutgoingClaim> claims;
        for (const auto& it : actions) {
            if (const auto* sent = std::get_if<SendClaim>(&it))
                claims.push_back(sent->claim);
        }
        for (const auto& it : claims)
            keeper.onClaimReply(it.to, { it.claim.sequence, { { { asker.team, QuotaRole::Keeper }, verdict, credit, {} } } }, now, actions);
        return claims.size();
    };
    CHECK(permits() == -1);

    SUBCASE("a new instance waits until all others have answered that they don't have the role")
    {
        list(latestListing(asker.instances, now));
        pass(12s);
        CHECK(permits() == -1);
        list(latestListing(asker.instances, now));
        CHECK(answer(RoleVerdict::Free) == 2);
        CHECK(permits() == 0);
        pass(1s);
        CHECK(permits() == 3);
    }
    SUBCASE("it starts at once with what the former keeper has left")
    {
        list(latestListing(asker.instances, now));
        answer(RoleVerdict::Released, { 2, 0 });
        CHECK(permits() == 2);
    }
    // After a restart of everything no line told whom the claims waited for, nor until when.
    SUBCASE("a wait of more than a second is reported with the silent instances and its end")
    {
        list(latestListing(asker.instances, now));
        const auto since = now;
        pass(1s);
        std::vector<RoleWait> waits;
        for (const auto& it : actions) {
            if (const auto* report = std::get_if<ReportRoleWait>(&it))
                waits.push_back(report->wait);
        }
        REQUIRE(waits.size() == 1);
        CHECK(waits[0].role == TeamRole { asker.team, QuotaRole::Keeper });
        CHECK(waits[0].since == since);
        CHECK(waits[0].until == since + 112s);
        CHECK(std::set<InstanceName>(waits[0].silent.begin(), waits[0].silent.end()) == std::set { asker.ranked[1], asker.ranked[2] });
    }
    SUBCASE("one that doesn't answer is waited for until its lists have ended")
    {
        list(latestListing(asker.instances, now));
        for (int i = 0; i < 11; ++i) {
            pass(10s);
            CHECK(permits() == -1);
            list(latestListing(asker.instances, now));
        }
        pass(3s);
        CHECK(permits() == -1);
        list(latestListing(asker.instances, now));
        CHECK(permits() >= 0);
    }
    SUBCASE("a list that may be old, or doesn't hold the process, gives it no role")
    {
        auto listing = latestListing(asker.instances, now);
        listing.isLatest = false;
        list(listing);
        CHECK(answer(RoleVerdict::Free) == 0);
        CHECK(keeper.needsLatestListing());
        listing = latestListing(asker.instances, now);
        listing.holdsSelf = false;
        list(listing);
        CHECK(answer(RoleVerdict::Free) == 0);
        CHECK(permits() == -1);
    }
    SUBCASE("while it keeps the quota")
    {
        list(latestListing(asker.instances, now));
        answer(RoleVerdict::Free);
        CHECK(permits() == 0);
        pass(1s);
        CHECK(permits() == 3);

        SUBCASE("after a pause it waits until it has listed the instances again")
        {
            const auto before = now;
            now += 4s;
            CHECK(permits() == -1);
            // A list that lay in a buffer during the pause.
            list(latestListing(asker.instances, before));
            CHECK(permits() == -1);
            list(latestListing(asker.instances, now));
            CHECK(permits() == 3);
        }
        SUBCASE("after a pause it stops when its object is missing, in whatever epoch")
        {
            now += 4s;
            CHECK(permits() == -1);
            auto listing = latestListing({ Instance { asker.ranked[1], {}, {}, {}, {} } }, now);
            listing.revision.epoch = 2;
            listing.holdsSelf = false;
            list(listing);
            CHECK(permits() == -1);
        }
        SUBCASE("without a list for long it stops, since others may no longer list it")
        {
            pass(109s);
            CHECK(permits() == -1);
        }
        SUBCASE("a list that holds another instance doesn't prolong it before that one has answered")
        {
            auto more = asker.instances;
            // It comes after the others in the team's ranking.
            for (int i = 0; more.size() == asker.instances.size(); ++i) {
                Instance added;
                added.name = InstanceName("added" + std::to_string(i));
                more.push_back(added);
                QuotaRanking ranking;
                ranking.setTeams({ asker.team });
                ranking.setInstances(more);
                if (ranking.rankOf(asker.team, added.name) != 3)
                    more.pop_back();
            }
            pass(50s);
            list(latestListing(more, now));
            CHECK(permits() >= 0);
            pass(59s);
            CHECK(permits() == -1);
        }
        SUBCASE("it stops when its object has left the store")
        {
            auto listing = latestListing({ Instance { asker.ranked[1], {}, {}, {}, {} } }, now + 1s);
            listing.holdsSelf = false;
            list(listing);
            CHECK(permits() == -1);
        }
        SUBCASE("it stops when another instance claims the quota by a later list, and hands on what is left")
        {
            actions.clear();
            keeper.onClaim(asker.ranked[1], { 7, { 1, 1 }, 0, { { asker.team, QuotaRole::Keeper } } }, now, actions);
            CHECK(std::get<AnswerClaim>(actions.at(0)).reply.answers.at(0).verdict == RoleVerdict::Outdated);
            CHECK(permits() >= 0);
            pass(1s);
            actions.clear();
            const StoreRevision later { 1, static_cast<std::uint64_t>(now.time_since_epoch().count()) };
            keeper.onClaim(asker.ranked[1], { 8, later, 0, { { asker.team, QuotaRole::Keeper } } }, now, actions);
            const auto given = std::get<AnswerClaim>(actions.at(0)).reply.answers.at(0);
            CHECK(given.verdict == RoleVerdict::Released);
            CHECK(given.credit.level >= 10);
            CHECK(permits() == -1);
        }
    }
}

TEST_SUITE_END();
