#pragma once

#include "base/error.h"
#include "base/time.h"
#include "wire/peer_clock.h"
#include "wire/peer_message.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheefield {

/// Limits on frames from peers. A frame that exceeds one is rejected as a whole.
struct FrameLimits {
    std::uint32_t maxFrameBytes = 16U * 1024 * 1024;
    std::uint32_t maxListItems = 8192; ///< Elements in one list of a message, such as legs, results, digests or lines.
    Duration maxBudget = std::chrono::hours(1); ///< Longest duration in a message, such as the time left until a deadline.
    Duration maxClock = std::chrono::years(100); ///< Latest time on a peer's clock, counted from the start of its machine.

    friend bool operator==(const FrameLimits&, const FrameLimits&) = default;
};

/// Size of the header before each payload: the payload's length, big endian.
constexpr std::size_t frameHeaderBytes = 4;

/// Returns the length of the payload that follows the header.
std::uint32_t decodeFrameHeader(const std::array<unsigned char, frameHeaderBytes>&);

/// Returns a whole frame: the header and the message in Thrift's compact protocol. A deadline is
/// encoded as the time left when the frame is sent. Thread safe.
std::string encodeFrame(const PeerMessage&, const FrameTimes&);
inline std::string encodeFrame(const PeerMessage& message, TimePoint now)
{
    return encodeFrame(message, FrameTimes { now });
}

/// Decodes the payload of one frame that was read now. The peer's clock tells when it was sent, and every time in the message counts
/// from then: a time left becomes a deadline on this process's clock, an age becomes a time that is no later than the true one. Of a frame
/// whose sending time is unknown, the time left counts from now, and an age tells nothing: the epoch stands for it.
///
/// Unknown fields are skipped. Another protocol version, a missing field, a value out of range,
/// trailing bytes and undecodable bytes are errors of kind InvalidInput. A frame with only a message
/// of a kind that this release doesn't know is an error of kind NotFound; the caller should skip it.
/// Thread safe for different clocks.
Result<PeerMessage> decodeFrame(std::string_view payload, PeerClock&, TimePoint now, const FrameLimits& = {});
/// Decodes a frame that was sent at `now`. Thread safe.
Result<PeerMessage> decodeFrame(std::string_view payload, TimePoint now, const FrameLimits& = {});

}
