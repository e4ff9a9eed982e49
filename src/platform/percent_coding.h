#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// Percent-encodes text for a URL path or query value; '/' and the unreserved characters are not encoded.
std::string percentEncode(std::string_view);
/// Decodes percent-encoded text. Returns nothing when an escape is malformed.
std::optional<std::string> percentDecode(std::string_view);

}
