#include "query/crash_evidence.h"
#include "query_fixture.h"

#include "base/fingerprint.h"

#include <doctest/doctest.h>

#include <set>

namespace lycheefield {

namespace {

const ServiceName service("quotedesk");

std::set<ServerName> serversOf(const std::vector<SendWork>& work)
{
    std::set<ServerName> servers;
    for (const auto& it : work) {
        for (const auto& leg : it.work.legs)
            servers.insert(leg.server);
    }
    return servers;
}

}

TEST_CASE("The engine limits the crashes when every server that runs a content crashes" * doctest::test_suite("query"))
{
    QueryFixture fixture(8);
    fixture.start("/search", "", "poison");
    const auto first = fixture.takeWork();
    std::set<ServerName> crashedServers;
    for (const auto& it : first) {
        for (const auto& leg : it.work.legs) {
            fixture.crash(it, leg);
            crashedServers.insert(leg.server);
        }
    }
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].refusal.has_value());
    CHECK((answers[0].runState == RunState::Unknown));

    SUBCASE("A query whose content crashed servers is neither hedged nor retried")
    {
        fixture.advance(200ms);
        CHECK(fixture.takeWork().empty());
        CHECK(crashedServers.size() == 8);
    }
    SUBCASE("Repeated requests with the content crash one of the crashed servers again, and never the other replica of a shard")
    {
        std::set<ServerName> further;
        for (int i = 0; i < 50; ++i) {
            fixture.start("/search", "", "poison");
            for (auto work = fixture.takeWork(); !work.empty(); work = fixture.takeWork()) {
                CHECK(fixture.legCount(work) == 1);
                for (const auto& server : serversOf(work)) {
                    CHECK(crashedServers.contains(server));
                    further.insert(server);
                }
                for (const auto& it : work) {
                    for (const auto& leg : it.work.legs)
                        fixture.crash(it, leg);
                }
            }
            fixture.advance(1s);
        }
        CHECK(further.size() == 1);
        const auto last = fixture.takeAnswers();
        REQUIRE(last.size() == 50);
        CHECK((last.back().refusal->kind == ErrorKind::Quarantined));
        CHECK((last.back().runState == RunState::NotRun));
        CHECK(fixture.engine->counters().quarantined >= 49);
    }
    SUBCASE("Requests with other content are sent to all shards at once")
    {
        fixture.start("/search", "", "innocent");
        CHECK(fixture.legCount(fixture.takeWork()) == 8);
    }
}

TEST_CASE("Content that ran during a crash is probed by one leg before the others are sent" * doctest::test_suite("query"))
{
    QueryFixture fixture(8);
    fixture.start("/search", "", "innocent");
    const auto first = fixture.takeWork();
    const auto& crashedLeg = first[0].work.legs[0];
    fixture.crash(first[0], crashedLeg);
    for (const auto& it : first) {
        for (const auto& leg : it.work.legs) {
            if (leg.leg != crashedLeg.leg)
                fixture.answer(it, leg);
        }
    }
    const auto partial = fixture.takeAnswers();
    REQUIRE(partial.size() == 1);
    CHECK(partial[0].covered.size() == 7);
    REQUIRE(partial[0].missing.size() == 1);
    CHECK(partial[0].missing[0].shard == crashedLeg.shard);

    fixture.advance(1s);
    fixture.start("/search", "", "innocent");
    const auto canary = fixture.takeWork();
    REQUIRE(fixture.legCount(canary) == 1);
    CHECK(canary[0].work.legs[0].server == crashedLeg.server);

    SUBCASE("The other legs follow when the probe is answered")
    {
        fixture.answer(canary[0], canary[0].work.legs[0]);
        fixture.advance(30ms);
        fixture.answerAll();
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].isComplete());
        CHECK(fixture.engine->counters().quarantined == 0);
    }
    SUBCASE("Another leg becomes the probe when the first probe is refused, as by a server that is down")
    {
        fixture.end(canary[0], canary[0].work.legs[0], LegOutcome::Refused);
        const auto next = fixture.takeWork();
        REQUIRE(fixture.legCount(next) == 1);
        CHECK(next[0].work.legs[0].shard != crashedLeg.shard);
        fixture.answer(next[0], next[0].work.legs[0]);
        fixture.advance(30ms);
        fixture.answerAll();
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].covered.size() >= 7);
    }
    SUBCASE("Content that a relay announces as cleared is sent to all shards at once")
    {
        fixture.engine->onCrashAnnounced({ fingerprintOf(service, "innocent"), 0, {}, {} }, fixture.now, fixture.actions);
        fixture.start("/search", "", "innocent");
        CHECK(fixture.legCount(fixture.takeWork()) == 8);
    }
}

TEST_CASE("The engine acts on crashes that relays announce" * doctest::test_suite("query"))
{
    QueryFixture fixture(8);
    const auto fingerprint = fingerprintOf(service, "poison");

    SUBCASE("Suspect content is probed by one leg through the relay of the crashed server")
    {
        fixture.engine->onCrashAnnounced({ fingerprint, 1, {}, ServerName("s3b") }, fixture.now, fixture.actions);
        fixture.start("/search", "", "poison");
        const auto work = fixture.takeWork();
        REQUIRE(fixture.legCount(work) == 1);
        CHECK(work[0].work.legs[0].server == ServerName("s3b"));
    }
    SUBCASE("Searches, records and orders with quarantined content are refused as not run until the quarantine ends")
    {
        fixture.engine->onCrashAnnounced({ fingerprint, 2, 5min, ServerName("s3b") }, fixture.now, fixture.actions);
        for (const std::string path : { "/search", "/record", "/order" }) {
            fixture.start(path, "key", "poison");
            CHECK(fixture.takeWork().empty());
            const auto answers = fixture.takeAnswers();
            REQUIRE(answers.size() == 1);
            CHECK((answers[0].refusal->kind == ErrorKind::Quarantined));
            CHECK(answers[0].retryAfter == 5min);
            CHECK((answers[0].runState == RunState::NotRun));
        }
        fixture.advance(6min);
        fixture.start("/search", "", "poison");
        CHECK(fixture.legCount(fixture.takeWork()) == 8);
    }
    SUBCASE("A query in flight is not retried once its content is suspect")
    {
        fixture.start("/search", "", "poison");
        const auto work = fixture.takeWork();
        fixture.engine->onCrashAnnounced({ fingerprint, 1, {}, ServerName("s3b") }, fixture.now, fixture.actions);
        fixture.end(work[0], work[0].work.legs[0], LegOutcome::Refused);
        CHECK(fixture.takeWork().empty());
    }
}

TEST_CASE("A record or an order that crashed its server is not sent to the other replica" * doctest::test_suite("query"))
{
    for (const std::string path : { "/record", "/order" }) {
        QueryFixture fixture(8);
        fixture.start(path, "key", "poison");
        const auto work = fixture.takeWork();
        const auto server = work[0].work.legs[0].server;
        fixture.crash(work[0], work[0].work.legs[0]);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].runState == RunState::Unknown));
        fixture.start(path, "key", "poison");
        CHECK(serversOf(fixture.takeWork()) == std::set<ServerName> { server });
    }
}

TEST_CASE("With a canary before every search, harmful content crashes at most two servers" * doctest::test_suite("query"))
{
    QuerySettings settings;
    settings.canaryBeforeSearch = true;
    QueryFixture fixture(8, settings);

    SUBCASE("The other legs are sent as soon as the canary is answered")
    {
        fixture.start("/search", "", "innocent");
        const auto canary = fixture.takeWork();
        REQUIRE(fixture.legCount(canary) == 1);
        fixture.answer(canary[0], canary[0].work.legs[0]);
        CHECK(fixture.legCount(fixture.takeWork()) == 7);
    }
    SUBCASE("A canary that crashes its server is followed by one probe at another shard and by the quarantine")
    {
        fixture.start("/search", "", "poison");
        std::set<ServerName> crashedServers;
        for (auto work = fixture.takeWork(); !work.empty(); work = fixture.takeWork()) {
            REQUIRE(fixture.legCount(work) == 1);
            crashedServers.insert(work[0].work.legs[0].server);
            fixture.crash(work[0], work[0].work.legs[0]);
        }
        CHECK(crashedServers.size() <= 2);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK((answers[0].refusal->kind == ErrorKind::Quarantined));
        CHECK((answers[0].runState == RunState::Unknown));
    }
}

TEST_CASE("Crash evidence is bounded and evicts quarantined content last" * doctest::test_suite("query"))
{
    CrashEvidence evidence;
    const TimePoint now { 1s };
    evidence.recordCrash(Fingerprint(1), { ServerName("s"), service, evidence.nextSequence(), true }, now);
    for (std::uint64_t i = 2; i < 3 * CrashEvidence::maxRecords; ++i)
        evidence.recordCrash(Fingerprint(i), { ServerName("s"), service, evidence.nextSequence(), false }, now + Duration(i));
    CHECK((evidence.standingOf(Fingerprint(1), now + 1s) == ContentStanding::Quarantined));
    CHECK((evidence.standingOf(Fingerprint(2), now + 1s) == ContentStanding::Clear));
    CHECK((evidence.standingOf(Fingerprint(3 * CrashEvidence::maxRecords - 1), now + 1s) == ContentStanding::Suspect));
    CHECK((evidence.standingOf(Fingerprint(1), now + CrashPolicy {}.retention) == ContentStanding::Clear));
}

}
