#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// Seconds since the Unix epoch of an HTTP date such as "Sun, 06 Nov 1994 08:49:37 GMT"; empty when it
/// is malformed.
std::optional<std::int64_t> parseHttpDate(std::string_view);
std::string toHttpDate(std::int64_t secondsSinceEpoch);

}
