#pragma once

#include "base/error.h"
#include "base/time.h"
#include "wire/peer_message.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheefield {

/// Bounds on what a peer may send. A frame that breaks one is refused as a whole.
struct FrameLimits {
    std::uint32_t maxFrameBytes = 16U * 1024 * 1024;
    std::uint32_t maxListItems = 8192; ///< Legs, results, digests, lines in one message.
    Duration maxBudget = std::chrono::hours(1); ///< Longest time left that a deadline may state.

    friend bool operator==(const FrameLimits&, const FrameLimits&) = default;
};

/// Bytes of the length that comes before each frame, big endian.
constexpr std::size_t frameHeaderBytes = 4;

/// Length of the payload that follows the header.
std::uint32_t decodeFrameHeader(const std::array<unsigned char, frameHeaderBytes>&);

/// A whole frame: the length and the message in Thrift's compact protocol. A deadline is written
/// as the time left at `now`. Thread safe.
std::string encodeFrame(const PeerMessage&, TimePoint now);

/// Reads the payload of one frame; a deadline becomes a time on this process's own time line.
///
/// Fields that this version does not know are skipped. Another protocol version, a missing field,
/// a value out of its range, bytes left over and anything that can't be read are errors of kind
/// InvalidInput. A frame whose one message this release doesn't know is an error of kind NotFound:
/// skip it. Thread safe.
Result<PeerMessage> decodeFrame(std::string_view payload, TimePoint now, const FrameLimits& = {});

}
