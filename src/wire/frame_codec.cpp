#include "wire/frame_codec.h"

#include "wire/convert.h"
#include "wire/generated/inner_types.h"
#include "wire/protocol_version.h"

#include <boost/endian/conversion.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>
#include <optional>

namespace lycheefield {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

Error malformedFrame(std::string message)
{
    return { ErrorKind::InvalidInput, std::move(message), "run the same release on all instances, and check whether other programs connect to the inner port" };
}

void appendHeader(std::uint32_t length, std::string& out)
{
    std::array<unsigned char, frameHeaderBytes> header {};
    boost::endian::store_big_u32(header.data(), length);
    out.append(header.begin(), header.end());
}

Result<wire::Envelope> readEnvelope(std::string_view payload, const FrameLimits& limits)
{
    // TMemoryBuffer only reads the bytes, but its constructor takes no const pointer.
    auto* bytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(payload.data()));
    auto buf = std::make_shared<TMemoryBuffer>(bytes, static_cast<std::uint32_t>(payload.size()));
    Protocol protocol(buf, static_cast<std::int32_t>(limits.maxFrameBytes), static_cast<std::int32_t>(limits.maxListItems));
    wire::Envelope envelope;
    try {
        envelope.read(&protocol);
    } catch (const std::exception& ex) {
        return malformedFrame(std::string("frame can't be decoded: ") + ex.what());
    }
    if (buf->available_read() != 0)
        return malformedFrame("frame has trailing bytes after its message");
    return envelope;
}

/// Decodes the payload, and checks its length and the version of the protocol.
Result<wire::Envelope> decodeEnvelope(std::string_view payload, const FrameLimits& limits)
{
    if (payload.empty() || payload.size() > limits.maxFrameBytes)
        return malformedFrame("frame of " + std::to_string(payload.size()) + " bytes is empty or exceeds the size limit");
    auto envelope = readEnvelope(payload, limits);
    if (!envelope)
        return envelope.error();
    if (envelope.value().protocolVersion != innerProtocolVersion) {
        return malformedFrame("frame has protocol version " + std::to_string(envelope.value().protocolVersion) + ", expected "
            + std::to_string(innerProtocolVersion));
    }
    return envelope;
}

/// Returns the time of a clock; empty if no clock can show it.
std::optional<TimePoint> timeOf(std::int64_t micros, const FrameLimits& limits)
{
    return micros >= 0 && micros <= limits.maxClock.count() ? std::optional(TimePoint(Duration(micros))) : std::nullopt;
}

/// Returns the times that the frame carries; none if its sending time is missing or can't be one.
std::optional<FrameTimes> timesOf(const wire::Envelope& envelope, const FrameLimits& limits)
{
    const auto& set = envelope.__isset;
    const auto sentAt = set.sentAtMicros ? timeOf(envelope.sentAtMicros, limits) : std::nullopt;
    if (!sentAt)
        return std::nullopt;
    FrameTimes times { *sentAt };
    const auto echoSentAt = set.echoSentAtMicros ? timeOf(envelope.echoSentAtMicros, limits) : std::nullopt;
    const auto echoReadAt = set.echoReadAtMicros ? timeOf(envelope.echoReadAtMicros, limits) : std::nullopt;
    if (echoSentAt && echoReadAt)
        times.echo = { *echoSentAt, *echoReadAt };
    return times;
}

void setTimes(const FrameTimes& times, wire::Envelope& out)
{
    out.__set_sentAtMicros(times.sentAt.time_since_epoch().count());
    if (!times.echo)
        return;
    out.__set_echoSentAtMicros(times.echo->sentAt.time_since_epoch().count());
    out.__set_echoReadAtMicros(times.echo->readAt.time_since_epoch().count());
}

}

std::uint32_t decodeFrameHeader(const std::array<unsigned char, frameHeaderBytes>& header)
{
    return boost::endian::load_big_u32(header.data());
}

std::string encodeFrame(const PeerMessage& message, const FrameTimes& times)
{
    wire::Envelope envelope;
    envelope.protocolVersion = innerProtocolVersion;
    setTimes(times, envelope);
    wire::toEnvelope(message, times.sentAt, envelope);
    auto buf = std::make_shared<TMemoryBuffer>();
    Protocol protocol(buf);
    envelope.write(&protocol);
    std::uint8_t* bytes = nullptr;
    std::uint32_t length = 0;
    buf->getBuffer(&bytes, &length);
    std::string out;
    out.reserve(frameHeaderBytes + length);
    appendHeader(length, out);
    out.append(reinterpret_cast<const char*>(bytes), length);
    return out;
}

Result<PeerMessage> decodeFrame(std::string_view payload, PeerClock& clock, TimePoint now, const FrameLimits& limits)
{
    auto envelope = decodeEnvelope(payload, limits);
    if (!envelope)
        return envelope.error();
    return wire::fromEnvelope(envelope.value(), clock.onFrame(timesOf(envelope.value(), limits), now), limits);
}

Result<PeerMessage> decodeFrame(std::string_view payload, TimePoint now, const FrameLimits& limits)
{
    auto envelope = decodeEnvelope(payload, limits);
    if (!envelope)
        return envelope.error();
    return wire::fromEnvelope(envelope.value(), { now, now, now }, limits);
}

}
