#include "platform/percent_coding.h"

#include <charconv>

namespace lycheefield {

namespace {

bool isPlain(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool isDigit = c >= '0' && c <= '9';
    return isLetter || isDigit || c == '-' || c == '_' || c == '.' || c == '~' || c == '/';
}

constexpr std::string_view hexDigits = "0123456789ABCDEF";

}

std::string percentEncode(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (const char c : text) {
        if (isPlain(c)) {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += '%';
        out += hexDigits[byte >> 4];
        out += hexDigits[byte & 15];
    }
    return out;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        const auto digits = text.substr(i + 1, 2);
        unsigned int byte = 0;
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
        if (digits.size() != 2 || ec != std::errc {} || end != digits.data() + digits.size())
            return std::nullopt;
        out += static_cast<char>(byte);
        i += 2;
    }
    return out;
}

}
