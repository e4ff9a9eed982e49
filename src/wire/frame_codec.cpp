#include "wire/frame_codec.h"

#include "wire/convert.h"
#include "wire/generated/inner_types.h"
#include "wire/protocol_version.h"

#include <boost/endian/conversion.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>

namespace lycheefield {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

Error unreadable(std::string message)
{
    return { ErrorKind::InvalidInput, std::move(message), "run instances of the same release and check what else connects to this port" };
}

void appendHeader(std::uint32_t length, std::string& out)
{
    std::array<unsigned char, frameHeaderBytes> header {};
    boost::endian::store_big_u32(header.data(), length);
    out.append(header.begin(), header.end());
}

Result<wire::Envelope> readEnvelope(std::string_view payload, const FrameLimits& limits)
{
    // TMemoryBuffer only observes the bytes; its interface lacks const.
    auto* bytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(payload.data()));
    auto buf = std::make_shared<TMemoryBuffer>(bytes, static_cast<std::uint32_t>(payload.size()));
    Protocol protocol(buf, static_cast<std::int32_t>(limits.maxFrameBytes), static_cast<std::int32_t>(limits.maxListItems));
    wire::Envelope envelope;
    try {
        envelope.read(&protocol);
    } catch (const std::exception& ex) {
        return unreadable(std::string("frame can't be read: ") + ex.what());
    }
    if (buf->available_read() != 0)
        return unreadable("frame has bytes after its message");
    return envelope;
}

}

std::uint32_t decodeFrameHeader(const std::array<unsigned char, frameHeaderBytes>& header)
{
    return boost::endian::load_big_u32(header.data());
}

std::string encodeFrame(const PeerMessage& message, TimePoint now)
{
    wire::Envelope envelope;
    envelope.protocolVersion = innerProtocolVersion;
    wire::toEnvelope(message, now, envelope);
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

Result<PeerMessage> decodeFrame(std::string_view payload, TimePoint now, const FrameLimits& limits)
{
    if (payload.empty() || payload.size() > limits.maxFrameBytes)
        return unreadable("frame of " + std::to_string(payload.size()) + " bytes is empty or too large");
    auto envelope = readEnvelope(payload, limits);
    if (!envelope)
        return envelope.error();
    if (envelope.value().protocolVersion != innerProtocolVersion) {
        return unreadable("frame has protocol version " + std::to_string(envelope.value().protocolVersion) + ", not "
            + std::to_string(innerProtocolVersion));
    }
    return wire::fromEnvelope(envelope.value(), now, limits);
}

}
