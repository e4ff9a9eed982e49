#pragma once

#include "base/time.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// Parsers and formatters for quantities in rule and settings files. A parser consumes the whole text and
/// returns nothing for a text that is malformed or out of the type's range. A parser reads the output of
/// its formatter back to an equal value. Thread safe.

/// Whole number with a unit: us, ms, s, m or h.
std::optional<Duration> parseDuration(std::string_view);
/// The same, or a decimal number with a unit, rounded to microseconds. For settings that a program fills in.
std::optional<Duration> parseDecimalDuration(std::string_view);
std::string formatDuration(Duration);
/// Returns the number of milliseconds, truncated and without a unit, for fields of logs and messages whose name says the unit. It is not parsed here.
std::string formatMilliseconds(Duration);

/// Decimal number from 0 to 100 with up to six decimal places and a percent sign, or a fraction from 0 to 1.
std::optional<Share> parseShare(std::string_view);
std::string formatShare(Share);

/// Whole number with a unit: B, KiB or MiB.
std::optional<ByteCount> parseByteCount(std::string_view);
std::string formatByteCount(ByteCount);

/// Whole number without sign, of at most twelve digits.
std::optional<std::uint64_t> parseWholeNumber(std::string_view);

/// Finite number without sign, with or without decimal places and exponent.
std::optional<double> parseNumber(std::string_view);
std::string formatNumber(double);

}
