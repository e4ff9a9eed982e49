#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// Encodes text for a URL path or query value; '/' and the unreserved characters stay as they are.
std::string percentEncode(std::string_view);
/// The inverse; empty when an escape is malformed.
std::optional<std::string> percentDecode(std::string_view);

}
