#include "base/request_id.h"

#include <charconv>
#include <cstdio>

namespace lycheefield {

namespace {

constexpr std::size_t digitsPerHalf = 16;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> parseHalf(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

}

std::string RequestId::toString() const
{
    char buf[2 * digitsPerHalf + 1];
    std::snprintf(buf, sizeof(buf), "%016llx%016llx", static_cast<unsigned long long>(life.value()), static_cast<unsigned long long>(counter));
    return buf;
}

std::optional<RequestId> RequestId::parse(std::string_view text)
{
    if (text.size() != 2 * digitsPerHalf)
        return std::nullopt;
    const auto life = parseHalf(text.substr(0, digitsPerHalf));
    const auto counter = parseHalf(text.substr(digitsPerHalf));
    if (!life || !counter)
        return std::nullopt;
    return RequestId { ProcessLife(*life), *counter };
}

}
