#include "base/digits.h"

#include <charconv>

namespace lycheefield {

std::optional<std::uint64_t> parseDigits(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

}
