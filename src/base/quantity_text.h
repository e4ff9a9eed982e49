#pragma once

#include "base/time.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// Texts of quantities as operators write them in rule and settings files. Each parser takes the
/// whole text and gives nothing when it is malformed or out of the type's range; each formatter
/// gives a text that its parser reads back to an equal value. Thread safe.

/// A whole number and a unit: us, ms, s, m or h.
std::optional<Duration> parseDuration(std::string_view);
std::string formatDuration(Duration);

/// A decimal number of up to six places from 0 to 100 and a percent sign.
std::optional<Share> parseShare(std::string_view);
std::string formatShare(Share);

/// A whole number and a unit: B, KiB or MiB.
std::optional<ByteCount> parseByteCount(std::string_view);
std::string formatByteCount(ByteCount);

/// A whole number without sign.
std::optional<std::uint64_t> parseWholeNumber(std::string_view);

}
