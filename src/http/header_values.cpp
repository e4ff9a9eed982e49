#include "http/header_values.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace lycheefield {

namespace {

constexpr std::array<std::string_view, 10> hopByHopHeaders { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade", "Content-Length" };

std::string_view trimmed(std::string_view text)
{
    const auto from = text.find_first_not_of(" \t");
    if (from == std::string_view::npos)
        return {};
    return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

}

bool isHopByHop(std::string_view name, const HttpHeaders& headers)
{
    const auto isName = [&](std::string_view other) { return boost::beast::iequals(name, other); };
    if (std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), isName))
        return true;
    const auto connection = headers.find("Connection");
    if (connection.empty())
        return false;
    const auto tokens = splitItems(connection);
    return std::any_of(tokens.begin(), tokens.end(), isName);
}

std::vector<std::string_view> splitItems(std::string_view text)
{
    std::vector<std::string_view> items;
    while (!text.empty()) {
        const auto comma = text.find(',');
        items.push_back(trimmed(text.substr(0, comma)));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return items;
}

}
