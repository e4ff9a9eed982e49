#include "query/snapshot_chooser.h"
#include "query_fixture.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

ServerState stateOf(const std::string& server, std::vector<IndexVersion> versions, bool draining = false)
{
    ServerState state;
    state.server = ServerName(server);
    state.versions = std::move(versions);
    state.draining = draining;
    return state;
}

std::vector<const Shard*> shardsOf(const ShardMap& map)
{
    std::vector<const Shard*> shards;
    for (const auto& it : map.findService(ServiceName("quotedesk"))->shards)
        shards.push_back(&it);
    return shards;
}

}

TEST_CASE("The chosen snapshot is the newest version that every shard can serve" * doctest::test_suite("query"))
{
    QueryFixture fixture(2);
    const IndexVersion v10(10);
    const IndexVersion v11(11);
    const IndexVersion v12(12);
    ServerTable table;
    const auto choose = [&] {
        const auto tables = fixture.tables();
        return SnapshotChooser(*tables.shards, table, fixture.now).choose(shardsOf(*tables.shards));
    };
    fixture.setVersions({ v10, v11 });

    SUBCASE("A version is chosen when one replica of each shard serves it")
    {
        fixture.servers[0].versions = { v10, v11, v12 };
        CHECK(choose() == v11);
        fixture.servers[3].versions = { v12 };
        CHECK(choose() == v12);
    }
    SUBCASE("A recent report of a relay overrides the shard map, an old report does not")
    {
        table.recordState(stateOf("s0a", { v12 }), fixture.now);
        table.recordState(stateOf("s1a", { v11, v12 }), fixture.now);
        CHECK(choose() == v12);
        fixture.now += 1min;
        CHECK(choose() == v11);
    }
    SUBCASE("A draining replica does not count while the other replica is live")
    {
        table.recordState(stateOf("s0a", { v12 }, true), fixture.now);
        table.recordState(stateOf("s1a", { v12 }), fixture.now);
        CHECK(choose() == v11);
        table.recordState(stateOf("s0b", { v10 }, true), fixture.now);
        CHECK(choose() == v12);
    }
    SUBCASE("No snapshot is chosen when the shards have no version in common")
    {
        for (int i = 0; i < 2; ++i)
            fixture.servers[i].versions = { v12 };
        CHECK_FALSE(choose().has_value());
    }
    SUBCASE("Version 0 is chosen for a service without snapshots")
    {
        fixture.setVersions({});
        CHECK(choose() == IndexVersion(0));
    }
}

TEST_CASE("The query handles replicas that stop serving its index version" * doctest::test_suite("query"))
{
    QueryFixture fixture(4);
    fixture.start("/search");
    const auto work = fixture.takeWork();
    const auto& leg = work[0].work.legs[0];
    fixture.end(work[0], leg, LegOutcome::VersionGone);

    SUBCASE("The leg goes to the other replica with the same version when one replica lacks it")
    {
        const auto again = fixture.takeWork();
        REQUIRE(fixture.legCount(again) == 1);
        CHECK(again[0].work.version == IndexVersion(10));
        CHECK(again[0].work.legs[0].server != leg.server);
    }
    SUBCASE("The query restarts on the newer version without mixing results when both replicas lack the old one")
    {
        fixture.setVersions({ IndexVersion(11) });
        for (const auto& it : fixture.servers)
            fixture.engine->onServerState(stateOf(it.name.value(), { IndexVersion(11) }), fixture.now);
        const auto again = fixture.takeWork();
        fixture.end(again[0], again[0].work.legs[0], LegOutcome::VersionGone);
        fixture.advance(1ms);
        const auto second = fixture.takeWork();
        REQUIRE(fixture.legCount(second) == 4);
        CHECK(fixture.takeCancels().size() == 3);
        for (const auto& it : second)
            CHECK(it.work.version == IndexVersion(11));
        // Late results of the first start must not count.
        for (const auto& it : work) {
            for (const auto& old : it.work.legs)
                fixture.answer(it, old);
        }
        CHECK(fixture.takeAnswers().empty());
        SUBCASE("The answer of the restarted query is complete on the newer version")
        {
            for (const auto& it : second) {
                for (const auto& order : it.work.legs)
                    fixture.answer(it, order);
            }
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK(answers[0].isComplete());
            CHECK(answers[0].version == IndexVersion(11));
            CHECK(fixture.engine->counters().restarts == 1);
        }
        SUBCASE("The query does not restart again when the newer version is lost too")
        {
            for (const auto& it : second) {
                for (const auto& order : it.work.legs)
                    fixture.end(it, order, LegOutcome::VersionGone);
            }
            for (const auto& it : fixture.takeWork()) {
                for (const auto& order : it.work.legs)
                    fixture.end(it, order, LegOutcome::VersionGone);
            }
            fixture.advance(200ms);
            CHECK(fixture.takeAnswers().size() == 1);
            CHECK(fixture.engine->counters().restarts == 1);
        }
    }
}

TEST_CASE("A result of another version or epoch is discarded and the leg retried" * doctest::test_suite("query"))
{
    QueryFixture fixture(2);
    fixture.start("/search");
    const auto work = fixture.takeWork();
    auto result = fixture.resultOf(work[0], work[0].work.legs[0], LegOutcome::Ok);
    SUBCASE("The index version differs") { result.version = IndexVersion(11); }
    SUBCASE("The partition epoch differs") { result.epoch = PartitionEpoch(6); }
    fixture.send(result);
    CHECK(fixture.engine->counters().mixedVersions == 1);
    const auto again = fixture.takeWork();
    REQUIRE(fixture.legCount(again) == 1);
    CHECK(again[0].work.legs[0].server != work[0].work.legs[0].server);
}

TEST_CASE("The query handles shards that are repartitioned while it runs" * doctest::test_suite("query"))
{
    QueryFixture fixture(2);
    const auto moveAll = [&](const std::vector<SendWork>& sent) {
        for (const auto& it : sent) {
            for (const auto& leg : it.work.legs)
                fixture.end(it, leg, LegOutcome::ShardMoved);
        }
    };
    fixture.start("/search");
    const auto first = fixture.takeWork();
    moveAll(first);
    moveAll(fixture.takeWork());
    fixture.advance(20ms);
    CHECK(fixture.takeWork().empty());

    SUBCASE("The query restarts when the newer shard map arrives")
    {
        fixture.services[0].epoch = PartitionEpoch(6);
        fixture.services[0].shards.pop_back();
        fixture.advance(10ms);
        const auto second = fixture.takeWork();
        REQUIRE(fixture.legCount(second) == 1);
        CHECK(second[0].work.epoch == PartitionEpoch(6));
        fixture.answer(second[0], second[0].work.legs[0]);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].isComplete());
        CHECK(answers[0].epoch == PartitionEpoch(6));
    }
    SUBCASE("The query is refused as unknown at the deadline without a newer map, since a leg was cancelled unanswered")
    {
        fixture.advance(100ms);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].refusal.has_value());
        CHECK((answers[0].runState == RunState::Unknown));
    }
}

TEST_CASE("A record or an order whose shard moved is answered as not run" * doctest::test_suite("query"))
{
    for (const std::string path : { "/record", "/order" }) {
        QueryFixture fixture(2);
        fixture.start(path);
        for (int i = 0; i < 2; ++i) {
            const auto sent = fixture.takeWork();
            REQUIRE(fixture.legCount(sent) == 1);
            fixture.end(sent[0], sent[0].work.legs[0], LegOutcome::ShardMoved);
        }
        fixture.advance(100ms);
        CHECK(fixture.takeWork().empty());
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].refusal.has_value());
        CHECK((answers[0].runState == RunState::NotRun));
    }
}

}
