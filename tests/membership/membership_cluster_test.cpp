#include "support/membership_cluster.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::uint64_t seed = 20261204;

StoredRules rules(std::uint64_t revision)
{
    StoredRules stored;
    stored.revision = RuleRevision(revision);
    for (int i = 0; i < 20; ++i)
        stored.text += "match /path/" + std::to_string(i) + " service quotedesk deadline 80ms # Ngozi: test\n";
    stored.text += "match /changing service quotedesk deadline " + std::to_string(revision) + "ms # Ngozi: test\n";
    return stored;
}

bool revisionsRise(MembershipCluster& cluster)
{
    return std::all_of(cluster.nodes().begin(), cluster.nodes().end(), [](const auto& it) {
        const auto& revisions = it.second.revisions;
        return std::adjacent_find(revisions.begin(), revisions.end(), [](const auto& a, const auto& b) { return b <= a; }) == revisions.end();
    });
}

std::size_t presentIn(const MembershipCluster::Node& node)
{
    const auto& all = node.engine->view().instances();
    return std::count_if(all.begin(), all.end(), [](const auto& it) { return it.second.health != InstanceHealth::Gone; });
}

std::uint64_t suspicionsIn(MembershipCluster& cluster)
{
    std::uint64_t n = 0;
    for (auto& [name, node] : cluster.nodes())
        n += node.engine->counts().suspicions;
    return n;
}

}

TEST_CASE("Nine instances find each other alive without any suspicion" * doctest::test_suite("membership"))
{
    CAPTURE(seed);
    MembershipCluster cluster(seed, {});
    cluster.startMany(9, 3);
    cluster.runFor(5s);
    CHECK(cluster.countSeeing("i0", InstanceHealth::Alive) == 9);
    CHECK(suspicionsIn(cluster) == 0);

    SUBCASE("An instance that stops is marked gone by all others")
    {
        cluster.stop("i4");
        cluster.runFor(15s);
        CHECK(cluster.countSeeing("i4", InstanceHealth::Gone) == 8);
        SUBCASE("A successor with the same name replaces the stopped instance and refutes the digests of the old life")
        {
            const auto life = cluster.start("i4", "zone-1").self.life;
            cluster.runFor(10s);
            CHECK(cluster.countSeeing("i4", InstanceHealth::Alive) == 9);
            for (auto& [name, node] : cluster.nodes())
                CHECK(node.engine->view().find(InstanceName("i4"))->life == life);
        }
    }
    SUBCASE("An instance that restarts before any failed probe is known by its new life")
    {
        cluster.stop("i4");
        const auto life = cluster.start("i4", "zone-1").self.life;
        cluster.runFor(10s);
        for (auto& [name, node] : cluster.nodes())
            CHECK(node.engine->view().find(InstanceName("i4"))->life == life);
    }
    SUBCASE("An instance that leaves is marked leaving, and gone once it has departed")
    {
        cluster.act("i4", [](auto& engine, auto& actions) { engine.leave(actions); });
        cluster.runFor(5s);
        CHECK(cluster.countSeeing("i4", InstanceHealth::Leaving) == 9);
        CHECK_FALSE(cluster.node("i4").engine->view().find(InstanceName("i4"))->canOwn());
        cluster.act("i4", [](auto& engine, auto& actions) { engine.depart(actions); });
        cluster.stop("i4");
        cluster.runFor(5s);
        CHECK(cluster.countSeeing("i4", InstanceHealth::Gone) == 8);
    }
    SUBCASE("A paused instance is marked gone, and alive again after it resumes")
    {
        cluster.pause("i4");
        cluster.runFor(20s);
        CHECK(cluster.countSeeing("i4", InstanceHealth::Gone) == 8);
        cluster.resume("i4");
        cluster.runFor(10s);
        CHECK(cluster.countSeeing("i4", InstanceHealth::Alive) == 9);
        CHECK(presentIn(cluster.node("i4")) == 9);
        CHECK(cluster.node("i4").engine->counts().pauses == 1);
    }
    SUBCASE("No instance is marked gone when a link is cut in one direction")
    {
        cluster.network().cuts.insert({ InstanceName("i0"), InstanceName("i1") });
        cluster.runFor(60s);
        CHECK(cluster.countSeeing("i0", InstanceHealth::Alive) == 9);
        CHECK(cluster.countSeeing("i1", InstanceHealth::Alive) == 9);
    }
    SUBCASE("An instance without any peer or store response is isolated, and rejoins when the network heals")
    {
        for (int i = 1; i < 9; ++i) {
            cluster.network().cuts.insert({ InstanceName("i0"), InstanceName("i" + std::to_string(i)) });
            cluster.network().cuts.insert({ InstanceName("i" + std::to_string(i)), InstanceName("i0") });
        }
        cluster.runFor(6s);
        CHECK(cluster.node("i0").engine->isIsolated(cluster.now()));
        CHECK_FALSE(cluster.node("i1").engine->isIsolated(cluster.now()));
        cluster.node("i0").engine->recordStoreResponse(cluster.now());
        CHECK_FALSE(cluster.node("i0").engine->isIsolated(cluster.now()));
        cluster.runFor(60s);
        cluster.network().cuts.clear();
        cluster.runFor(20s);
        CHECK(cluster.countSeeing("i0", InstanceHealth::Alive) == 9);
        CHECK(presentIn(cluster.node("i0")) == 9);
        CHECK_FALSE(cluster.node("i0").engine->isIsolated(cluster.now()));
    }
    SUBCASE("No instance is marked gone when 10 % of the messages are lost")
    {
        cluster.network().loss = percent(10);
        for (int i = 0; i < 60; ++i) {
            cluster.runFor(5s);
            for (auto& [name, node] : cluster.nodes())
                REQUIRE(presentIn(node) == 9);
        }
    }
    SUBCASE("Rules that the watchers read from the store are in force on every running instance within 3 s")
    {
        cluster.network().loss = percent(10);
        for (std::uint64_t revision = 1; revision <= 30; ++revision) {
            CAPTURE(revision);
            cluster.storeRules(rules(revision), 5ms);
            if (revision == 10)
                cluster.storeRules(rules(3), 10ms);
            if (revision == 20)
                cluster.pause("i8");
            if (revision == 25)
                cluster.resume("i8");
            cluster.runFor(3s);
            REQUIRE(cluster.countWithRevision(RuleRevision(revision)) >= (revision >= 20 && revision < 25 ? 8 : 9));
        }
        CHECK(revisionsRise(cluster));
    }
    SUBCASE("A new instance obtains the rules from its peers while the store is unreachable")
    {
        cluster.storeRules(rules(7), 5ms);
        cluster.runFor(2s);
        CHECK_FALSE(cluster.start("i9", "zone-0").replicator.isReady());
        cluster.runFor(2s);
        CHECK(cluster.node("i9").replicator.isReady());
        CHECK(cluster.countWithRevision(RuleRevision(7)) == 10);
        CHECK(cluster.countSeeing("i9", InstanceHealth::Alive) == 10);
    }
}

TEST_CASE("A process whose name is listed with another life is superseded and stops refuting" * doctest::test_suite("membership"))
{
    MembershipCluster cluster(seed, {});
    cluster.startMany(2, 1);
    auto& engine = *cluster.node("i0").engine;
    MembershipActions actions;
    auto successor = cluster.node("i0").self;
    successor.life = ProcessLife(42);
    engine.onListed({ successor }, cluster.now(), actions);
    CHECK(engine.isSuperseded());
    GossipMessage message;
    message.sequence = 1;
    message.digests = { fullDigestOf(successor, 99) };
    engine.onMessage(InstanceName("i1"), message, cluster.now(), actions);
    CHECK(engine.counts().refutations == 0);
}

TEST_CASE("A cluster of 510 instances converges with 10 % message loss" * doctest::test_suite("membership"))
{
    CAPTURE(seed);
    MembershipCluster cluster(seed, {});
    cluster.startMany(510, 6);
    cluster.runFor(5s);
    cluster.network().loss = percent(10);

    SUBCASE("All 510 instances have each new rule revision in force within 3 s, with 10 % message loss")
    {
        for (std::uint64_t revision = 1; revision <= 3; ++revision) {
            CAPTURE(revision);
            cluster.storeRules(rules(revision), 5ms);
            cluster.runFor(3s);
            REQUIRE(cluster.countWithRevision(RuleRevision(revision)) == 510);
        }
        CHECK(revisionsRise(cluster));
    }
    SUBCASE("All 510 instances notice a stopped and a new instance and mark no other instance gone")
    {
        cluster.stop("i77");
        cluster.start("new", "zone-3");
        cluster.runFor(30s);
        CHECK(cluster.running() == 510);
        CHECK(cluster.countSeeing("i77", InstanceHealth::Gone) == 510);
        CHECK(cluster.countSeeing("new", InstanceHealth::Gone) == 0);
        for (auto& [name, node] : cluster.nodes()) {
            if (!node.stopped)
                REQUIRE(presentIn(node) == 510);
        }
    }
}

}
