#include "load/load_plan.h"

#include <charconv>

namespace lycheefield {

namespace {

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (true) {
        const auto n = text.find(separator);
        parts.emplace_back(text.substr(0, n));
        if (n == std::string_view::npos)
            return parts;
        text.remove_prefix(n + 1);
    }
}

template <typename Number>
bool parseNumber(const std::string& text, Number& number)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size();
}

bool parseKind(const std::string& text, RequestKind& kind)
{
    if (text == "search")
        kind = RequestKind::Search;
    else if (text == "record")
        kind = RequestKind::Record;
    else if (text == "order")
        kind = RequestKind::Order;
    else
        return false;
    return true;
}

}

Result<RequestClass> parseRequestClass(std::string_view text)
{
    constexpr std::size_t fields = 5;
    const auto parts = split(text, ':');
    const Error error { ErrorKind::InvalidInput, "'" + std::string(text) + "' is not a request class", "write name:path:search|record|order:weight:deadline-ms" };
    RequestClass result;
    std::int64_t deadlineMillis = 0;
    if (parts.size() != fields || !parseKind(parts[2], result.kind) || !parseNumber(parts[3], result.weight) || !parseNumber(parts[4], deadlineMillis))
        return error;
    if (result.weight <= 0 || deadlineMillis < 0)
        return error;
    result.name = parts[0];
    result.path = parts[1];
    result.deadline = std::chrono::milliseconds(deadlineMillis);
    return result;
}

}
