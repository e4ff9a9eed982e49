#include "wire/frame_codec.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint sentAt { 5s };
constexpr TimePoint receivedAt { 900s };

Result<PeerMessage> roundTrip(const PeerMessage& message)
{
    const auto frame = encodeFrame(message, sentAt);
    return decodeFrame(std::string_view(frame).substr(frameHeaderBytes), receivedAt);
}

SearchCall call()
{
    SearchCall call;
    call.sequence = 7;
    call.tableVersion = 12;
    call.route = "quotes";
    call.limits = { 50, 2 };
    call.shards = { ServiceName("shard1"), ServiceName("shard2") };
    call.attemptId = "abc";
    call.message.method = "POST";
    call.message.target = "/search/1?x=2";
    call.message.headers.add("X-One", "1");
    call.message.body = std::string("bo\0dy", 5);
    call.deadline = sentAt + 800ms;
    call.answerBy = sentAt + 90ms;
    call.team = TeamName("desk");
    call.teamRank = 3;
    return call;
}

SearchReply reply()
{
    SearchReply reply;
    reply.sequence = 7;
    reply.answer.kind = ForwardAnswerKind::Search;
    reply.answer.signatures = { "s1", "s2" };
    reply.answer.coveredShards = { 0, 2 };
    reply.answer.runs = { 1, 2, 1 };
    reply.answer.missingShards = 1;
    reply.answer.message.body = std::string(32, '\xff');
    reply.answer.reason = "partial";
    return reply;
}

}

TEST_CASE("Search and store messages decode to what was encoded" * doctest::test_suite("wire"))
{
    SUBCASE("A search call carries its deadlines as the time left")
    {
        const auto decoded = roundTrip(call());
        REQUIRE(decoded);
        auto expected = call();
        expected.deadline = receivedAt + 800ms;
        expected.answerBy = receivedAt + 90ms;
        const auto& got = std::get<SearchCall>(decoded.value());
        CHECK(got.message.body == expected.message.body);
        CHECK(got.message.headers.find("X-One") == "1");
        CHECK(got == expected);
    }
    SUBCASE("Search notes carry their kind and shard positions")
    {
        for (const auto kind : { SearchNoteKind::Taken, SearchNoteKind::Declined, SearchNoteKind::Cancelled, SearchNoteKind::ExtraAttemptsRequested, SearchNoteKind::ExtraAttemptsGranted }) {
            const SearchNote note { 9, kind, { 3, 5 } };
            const auto decoded = roundTrip(note);
            REQUIRE(decoded);
            CHECK(std::get<SearchNote>(decoded.value()) == note);
        }
    }
    SUBCASE("A search reply decodes to what was encoded")
    {
        const auto decoded = roundTrip(reply());
        REQUIRE(decoded);
        const auto& got = std::get<SearchReply>(decoded.value());
        CHECK(got.sequence == 7);
        CHECK(got.answer.signatures == reply().answer.signatures);
        CHECK(got.answer.coveredShards == reply().answer.coveredShards);
        CHECK(got.answer.runs == reply().answer.runs);
        CHECK(got.answer.message.body == reply().answer.message.body);
    }
    SUBCASE("A search reply with more covered shards than signatures is rejected")
    {
        auto odd = reply();
        odd.answer.coveredShards.push_back(1);
        CHECK_FALSE(roundTrip(odd));
    }
    SUBCASE("A request for the store's state keeps its prefix")
    {
        const auto decoded = roundTrip(StoreStateRequest { "servers/" });
        REQUIRE(decoded);
        CHECK(std::get<StoreStateRequest>(decoded.value()) == StoreStateRequest { "servers/" });
    }
    SUBCASE("Store news carry their time as an age")
    {
        StoreNews news { "servers/", { 0, 10 }, { 0, 14 }, { { "servers/a", ObjectVersion { 12 }, "{}" } }, { "servers/b" }, sentAt - 250ms };
        const auto decoded = roundTrip(news);
        REQUIRE(decoded);
        news.currentAsOf = receivedAt - 250ms;
        CHECK(std::get<StoreNews>(decoded.value()) == news);
    }
    SUBCASE("Store news of an instance that has heard nothing yet are as old as its clock, and still read")
    {
        const auto decoded = roundTrip(StoreNews { "servers/", {}, {}, {}, {}, sentAt - std::chrono::hours(30) });
        REQUIRE(decoded);
        CHECK(std::get<StoreNews>(decoded.value()).currentAsOf <= receivedAt - std::chrono::hours(1));
    }
    SUBCASE("Store news carry the time of their confirmation on the sender's clock, and it is read on the receiver's")
    {
        StoreNews news { "config/", { 0, 10 }, { 0, 10 }, {}, {}, sentAt, sentAt - 1234567us };
        const auto decoded = roundTrip(news);
        REQUIRE(decoded);
        CHECK(std::get<StoreNews>(decoded.value()).confirmedAt == receivedAt - 1234567us);
    }
    SUBCASE("Store news carry the epochs of their revisions, and whether they compare two lists")
    {
        StoreNews news { "config/", { 3, 10 }, { 4, 10 }, {}, {}, sentAt, {}, true };
        const auto decoded = roundTrip(news);
        REQUIRE(decoded);
        news.currentAsOf = receivedAt;
        CHECK(std::get<StoreNews>(decoded.value()) == news);
    }
}

TEST_CASE("Times in a message count from when its frame was sent, however long it was on its way" * doctest::test_suite("wire"))
{
    constexpr Duration delay = 6s;
    const auto readAt = sentAt + delay;
    PeerClock reader;
    reader.timesFor(sentAt - 1s);
    const auto read = [&](const PeerMessage& message) {
        const auto frame = encodeFrame(message, { sentAt, FrameEcho { sentAt - 1s, sentAt - 1s } });
        return decodeFrame(std::string_view(frame).substr(frameHeaderBytes), reader, readAt).value();
    };
    // The clocks may have drifted apart by this since the echo.
    constexpr Duration drift = 8ms;

    SUBCASE("the age of a proof")
    {
        const auto news = std::get<StoreNews>(read(StoreNews { "servers/", { 0, 10 }, { 0, 14 }, {}, {}, sentAt - 250ms, sentAt - 500ms }));
        CHECK(news.currentAsOf <= sentAt - 250ms);
        CHECK(news.currentAsOf >= sentAt - 250ms - drift);
        CHECK(news.confirmedAt <= sentAt - 500ms);
        CHECK(news.confirmedAt >= sentAt - 500ms - drift);
    }
    SUBCASE("the deadline of a delegated search")
    {
        const auto search = std::get<SearchCall>(read(call()));
        CHECK(search.deadline >= call().deadline);
        CHECK(search.deadline <= call().deadline + SendTime::deadlineTolerance + drift);
        CHECK(search.answerBy <= call().answerBy + SendTime::deadlineTolerance + drift);
    }
    SUBCASE("the end of a quarantine, so that instances that repeat it to each other do not prolong it")
    {
        const auto crash = std::get<AnnounceCrash>(read(AnnounceCrash { Fingerprint(1), 3, 60s }));
        CHECK(crash.quarantine <= 60s - delay);
        CHECK(crash.quarantine >= 60s - delay - drift);
    }
    SUBCASE("a frame of an earlier release names no sending time: its proof counts for nothing, its deadline from its reading")
    {
        PeerClock unknown;
        const auto readUnknown = [&](const PeerMessage& message) {
            const auto frame = encodeFrame(message, sentAt);
            return decodeFrame(std::string_view(frame).substr(frameHeaderBytes), unknown, readAt).value();
        };
        CHECK(std::get<StoreNews>(readUnknown(StoreNews { "servers/", { 0, 10 }, { 0, 14 }, {}, {}, sentAt, sentAt })).currentAsOf == TimePoint {});
        CHECK(std::get<StoreNews>(readUnknown(StoreNews { "servers/", { 0, 10 }, { 0, 14 }, {}, {}, sentAt, sentAt })).confirmedAt == TimePoint {});
        CHECK(std::get<SearchCall>(readUnknown(call())).deadline == readAt + 800ms);
    }
}

TEST_CASE("Messages of clocks and quotas decode to what was encoded" * doctest::test_suite("wire"))
{
    SUBCASE("clock messages keep the times of both clocks")
    {
        const ClockCall call { TimePoint(77s) };
        const ClockReply reply { TimePoint(77s), TimePoint(5000001us) };
        CHECK(std::get<ClockCall>(roundTrip(call).value()) == call);
        CHECK(std::get<ClockReply>(roundTrip(reply).value()) == reply);
    }
    SUBCASE("quota messages keep their teams and numbers")
    {
        const QuotaCall call { 9, { { TeamName("desk"), 12, true }, { TeamName("vans"), 0 } } };
        const QuotaReply reply { 9, { { TeamName("desk"), 10, 300ms, 25ms }, { TeamName("vans"), 0, 0ms, 0ms } } };
        CHECK(std::get<QuotaCall>(roundTrip(call).value()) == call);
        CHECK(std::get<QuotaReply>(roundTrip(reply).value()) == reply);
    }
    SUBCASE("claims of roles keep the list that they rest on, and their answers what is left and who has claimed before")
    {
        const TeamRole keeper { TeamName("desk"), QuotaRole::Keeper };
        const TeamRole standby { TeamName("vans"), QuotaRole::Standby };
        const RoleClaim claim { 9, { 3, 4711 }, 0xfedcba9876543210, { keeper, standby } };
        const RoleClaimReply reply { 9, { { keeper, RoleVerdict::Released, { 12.5, 3 }, { InstanceName("g1"), InstanceName("g2") } }, { standby, RoleVerdict::Outdated, {}, {} } } };
        const RoleResignation resignation { ProcessLife(0xfedcba9876543210), true };
        CHECK(std::get<RoleClaim>(roundTrip(claim).value()) == claim);
        CHECK(std::get<RoleClaimReply>(roundTrip(reply).value()) == reply);
        CHECK(std::get<RoleResignation>(roundTrip(resignation).value()) == resignation);
    }
}

}
