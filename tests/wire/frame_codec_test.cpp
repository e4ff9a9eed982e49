#include "wire/frame_codec.h"
#include "wire/generated/inner_types.h"
#include "wire/protocol_version.h"

#include <doctest/doctest.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <limits>

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint sentAt { 5s };
constexpr TimePoint receivedAt { 900s };

std::string_view payloadOf(const std::string& frame)
{
    return std::string_view(frame).substr(frameHeaderBytes);
}

Result<PeerMessage> roundTrip(const PeerMessage& message)
{
    return decodeFrame(payloadOf(encodeFrame(message, sentAt)), receivedAt);
}

/// Encodes the payload of an envelope, also of one that encodeFrame would not produce.
std::string encodeEnvelope(const wire::Envelope& envelope)
{
    auto buf = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buf);
    envelope.write(&protocol);
    return buf->getBufferAsString();
}

wire::Envelope envelopeWithCancel()
{
    wire::Envelope envelope;
    envelope.protocolVersion = innerProtocolVersion;
    wire::LegKey key;
    key.requestLife = 1;
    envelope.__set_cancel(key);
    return envelope;
}

WorkOrder workOrder()
{
    WorkOrder work;
    work.request = { ProcessLife(0xfedcba9876543210), 7 };
    work.entry = InstanceName("ikeja-a-1");
    work.service = ServiceName("quotedesk");
    work.kind = RequestKind::Order;
    work.priority = Priority::Van;
    work.deadline = sentAt + 80ms;
    work.version = IndexVersion(12);
    work.epoch = PartitionEpoch(3);
    work.fingerprint = Fingerprint(0xffffffffffffffff);
    work.body = std::make_shared<const std::string>(std::string("fuse\0board", 10));
    work.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    work.legs = { { LegNumber(0), AttemptNumber(0), ShardNumber(4), ServerName("q4-0"), false },
        { LegNumber(1), AttemptNumber(1), ShardNumber(5), ServerName("q5-1"), true } };
    return work;
}

LegResult legResult()
{
    LegResult result;
    result.key = { { ProcessLife(9), 8 }, LegNumber(2), AttemptNumber(1) };
    result.shard = ShardNumber(2);
    result.outcome = LegOutcome::Ok;
    result.version = IndexVersion(12);
    result.epoch = PartitionEpoch(3);
    result.batches = { BatchId("quotedesk/8"), BatchId("quotedesk/9") };
    result.body = R"({"price":1})";
    result.state = { ServerName("q2-1"), 2, 3, 4, { IndexVersion(11), IndexVersion(12) }, true, false, 8ms };
    result.queueTime = 2ms;
    result.serviceTime = 7ms;
    result.crashed = true;
    result.retryAfter = 50ms;
    result.detail = "status 200";
    return result;
}

}

TEST_SUITE_BEGIN("wire");

TEST_CASE("A message decodes to what was encoded")
{
    SUBCASE("A work order carries its deadline as the time left")
    {
        const auto work = workOrder();
        const auto decoded = roundTrip(work);
        REQUIRE(decoded.has_value());
        const auto& got = std::get<WorkOrder>(decoded.value());
        CHECK(got.request == work.request);
        CHECK(got.entry == work.entry);
        CHECK(got.service == work.service);
        CHECK(got.kind == work.kind);
        CHECK((got.priority == work.priority));
        CHECK(got.deadline == receivedAt + 80ms);
        CHECK(got.version == work.version);
        CHECK(got.epoch == work.epoch);
        CHECK(got.fingerprint == work.fingerprint);
        CHECK(*got.body == *work.body);
        CHECK(got.traceparent == work.traceparent);
        CHECK(got.legs == work.legs);
    }
    SUBCASE("A work order whose deadline has passed arrives with no time left")
    {
        auto work = workOrder();
        work.deadline = sentAt - 1s;
        const auto decoded = roundTrip(work);
        REQUIRE(decoded.has_value());
        CHECK(std::get<WorkOrder>(decoded.value()).deadline == receivedAt);
    }
    SUBCASE("Leg results decode to what was encoded")
    {
        const LegResults results { { legResult(), LegResult {} } };
        const auto decoded = roundTrip(results);
        REQUIRE(decoded.has_value());
        CHECK(std::get<LegResults>(decoded.value()) == results);
    }
    SUBCASE("Hello, cancel, server state and crash messages decode to what was encoded")
    {
        const Hello hello { InstanceName("hue-a-1"), ProcessLife(77), ZoneName("hue-a") };
        CHECK(std::get<Hello>(roundTrip(hello).value()) == hello);
        const CancelLeg cancel { legResult().key };
        CHECK(std::get<CancelLeg>(roundTrip(cancel).value()) == cancel);
        const ServerStateUpdate news { { legResult().state } };
        CHECK(std::get<ServerStateUpdate>(roundTrip(news).value()) == news);
        const auto crash = std::get<AnnounceCrash>(roundTrip(AnnounceCrash { Fingerprint(5), 2, 5min, { ServerName("quotedesk-3"), ShardNumber(7) } }).value());
        CHECK((crash.location == CrashLocation { ServerName("quotedesk-3"), ShardNumber(7) }));
        const auto withoutLocation = std::get<AnnounceCrash>(roundTrip(AnnounceCrash { Fingerprint(5), 0, Duration {} }).value());
        CHECK((withoutLocation.location == CrashLocation {}));
        CHECK(crash.fingerprint == Fingerprint(5));
        CHECK(crash.crashes == 2);
        CHECK(crash.quarantine == 5min);
    }
    SUBCASE("Rule requests and control messages decode to what was encoded")
    {
        CHECK(std::get<RuleRequest>(roundTrip(RuleRequest { RuleRevision(2) }).value()) == RuleRequest { RuleRevision(2) });
        const Control control { 3, "cancel", "id", true, "done" };
        CHECK(std::get<Control>(roundTrip(control).value()) == control);
    }
}

TEST_CASE("The decoder rejects a malformed frame")
{
    auto envelope = envelopeWithCancel();
    CHECK(decodeFrame(encodeEnvelope(envelope), receivedAt).has_value());

    SUBCASE("A frame with another protocol version is rejected")
    {
        envelope.protocolVersion = innerProtocolVersion + 1;
        const auto decoded = decodeFrame(encodeEnvelope(envelope), receivedAt);
        REQUIRE_FALSE(decoded.has_value());
        CHECK((decoded.error().kind == ErrorKind::InvalidInput));
    }
    SUBCASE("A frame with two messages is rejected")
    {
        envelope.__set_hello(wire::Hello());
        CHECK((decodeFrame(encodeEnvelope(envelope), receivedAt).error().kind == ErrorKind::InvalidInput));
    }
    SUBCASE("A frame with a value out of range is rejected")
    {
        envelope.cancel.leg = -1;
        CHECK((decodeFrame(encodeEnvelope(envelope), receivedAt).error().kind == ErrorKind::InvalidInput));
    }
    SUBCASE("A leg result with an unknown outcome is rejected")
    {
        wire::Envelope results;
        results.protocolVersion = innerProtocolVersion;
        wire::LegResult result;
        result.outcome = static_cast<std::int32_t>(LegOutcome::NotHeld) + 1;
        results.__set_results({ result });
        const auto decoded = decodeFrame(encodeEnvelope(results), receivedAt);
        REQUIRE_FALSE(decoded.has_value());
        CHECK((decoded.error().kind == ErrorKind::InvalidInput));
    }
    SUBCASE("A frame with trailing bytes is rejected")
    {
        CHECK((decodeFrame(std::string(encodeEnvelope(envelope)).append("x"), receivedAt).error().kind == ErrorKind::InvalidInput));
    }
    SUBCASE("A frame truncated at any length is rejected")
    {
        const auto whole = encodeFrame(workOrder(), sentAt);
        for (std::size_t n = 0; n < whole.size() - frameHeaderBytes; ++n) {
            CAPTURE(n);
            CHECK_FALSE(decodeFrame(payloadOf(whole).substr(0, n), receivedAt).has_value());
        }
    }
    SUBCASE("A frame with more list items than the limit is rejected")
    {
        auto work = workOrder();
        work.legs.resize(101, work.legs.front());
        FrameLimits limits;
        limits.maxListItems = 100;
        CHECK(decodeFrame(payloadOf(encodeFrame(work, sentAt)), receivedAt).has_value());
        CHECK((decodeFrame(payloadOf(encodeFrame(work, sentAt)), receivedAt, limits).error().kind == ErrorKind::InvalidInput));
    }
}

TEST_CASE("The decoder takes no time that no clock can show")
{
    wire::Envelope envelope;
    envelope.protocolVersion = innerProtocolVersion;
    wire::StoreNews news;
    news.prefix = "config/";
    news.ageMicros = 5;
    news.__set_confirmedAtMicros(7);
    envelope.__set_storeNews(news);
    PeerClock clock;
    clock.timesFor(receivedAt - 1s);
    const auto decoded = [&] { return std::get<StoreNews>(decodeFrame(encodeEnvelope(envelope), clock, receivedAt).value()); };

    SUBCASE("A frame of an earlier release has no sending time: its times tell nothing")
    {
        CHECK(decoded().confirmedAt == TimePoint {});
        CHECK(decoded().currentAsOf == TimePoint {});
    }
    SUBCASE("A sending time out of range counts as none")
    {
        for (const auto micros : { std::numeric_limits<std::int64_t>::min(), std::int64_t(-1), std::numeric_limits<std::int64_t>::max() }) {
            CAPTURE(micros);
            envelope.__set_sentAtMicros(micros);
            envelope.__set_echoSentAtMicros(1);
            envelope.__set_echoReadAtMicros(1);
            CHECK(decoded().currentAsOf == TimePoint {});
        }
    }
    SUBCASE("An echo out of range counts as none")
    {
        envelope.__set_sentAtMicros(100);
        envelope.__set_echoSentAtMicros(std::numeric_limits<std::int64_t>::min());
        envelope.__set_echoReadAtMicros(std::numeric_limits<std::int64_t>::max());
        CHECK(decoded().currentAsOf == TimePoint {});
    }
    SUBCASE("A confirmation after the sending of its frame counts as none, one before the machine's start is rejected")
    {
        envelope.__set_sentAtMicros(100);
        envelope.__set_echoSentAtMicros((receivedAt - 1s).time_since_epoch().count());
        envelope.__set_echoReadAtMicros(50);
        CHECK(decoded().confirmedAt > receivedAt - 2s);
        envelope.storeNews.__set_confirmedAtMicros(101);
        CHECK(decoded().confirmedAt == TimePoint {});
        envelope.storeNews.__set_confirmedAtMicros(-1);
        CHECK((decodeFrame(encodeEnvelope(envelope), clock, receivedAt).error().kind == ErrorKind::InvalidInput));
    }
}

TEST_CASE("The decoder tolerates frames of a newer release with the same protocol version")
{
    SUBCASE("An unknown field in a frame is skipped")
    {
        // Replaces the stop byte of the envelope by an unknown field of type i64 and a new stop byte.
        auto payload = encodeEnvelope(envelopeWithCancel());
        payload.pop_back();
        payload += std::string("\xb6\x02", 2);
        payload.push_back('\0');
        const auto decoded = decodeFrame(payload, receivedAt);
        REQUIRE(decoded.has_value());
        CHECK(std::holds_alternative<CancelLeg>(decoded.value()));
    }
    SUBCASE("A frame with only an unknown kind of message is reported as NotFound")
    {
        wire::Envelope envelope;
        envelope.protocolVersion = innerProtocolVersion;
        CHECK((decodeFrame(encodeEnvelope(envelope), receivedAt).error().kind == ErrorKind::NotFound));
    }
}

TEST_SUITE_END();
