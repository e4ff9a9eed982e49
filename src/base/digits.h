#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace lycheefield {

/// Parses an unsigned 64-bit decimal number in the output of another program: digits only, without sign
/// or blanks. Returns nothing for any other text. Operator input is parsed by parseWholeNumber, which
/// accepts at most twelve digits. Thread safe.
std::optional<std::uint64_t> parseDigits(std::string_view);

}
