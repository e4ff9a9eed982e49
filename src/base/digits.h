#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace lycheefield {

/// A whole number as other programs write it: digits without sign or blanks, up to 64 bits. Empty when
/// the text is anything else. What operators write goes by parseWholeNumber, which keeps to sensible
/// quantities. Thread safe.
std::optional<std::uint64_t> parseDigits(std::string_view);

}
