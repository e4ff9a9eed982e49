#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// Parses an HTTP date such as "Sun, 06 Nov 1994 08:49:37 GMT" to seconds since the Unix epoch. Returns
/// nothing when the date is malformed.
std::optional<std::int64_t> parseHttpDate(std::string_view);
std::string toHttpDate(std::int64_t secondsSinceEpoch);

}
