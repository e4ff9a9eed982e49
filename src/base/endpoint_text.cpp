#include "base/endpoint_text.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace lycheefield {

bool isIpv4Address(std::string_view text)
{
    constexpr int addressBytes = 4;
    for (int i = 0; i < addressBytes; ++i) {
        std::uint8_t byte = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), byte);
        if (ec != std::errc())
            return false;
        text.remove_prefix(end - text.data());
        if (i + 1 < addressBytes) {
            if (!text.starts_with('.'))
                return false;
            text.remove_prefix(1);
        }
    }
    return text.empty();
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const Error error { ErrorKind::InvalidInput, "expected IP:PORT, got '" + std::string(text) + "'", "use an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:8080" };
    const auto colon = text.find(':');
    if (colon == std::string_view::npos || !isIpv4Address(text.substr(0, colon)))
        return error;
    const auto digits = text.substr(colon + 1);
    Endpoint endpoint { std::string(text.substr(0, colon)), 0 };
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (ec != std::errc() || end != digits.data() + digits.size() || endpoint.port == 0)
        return error;
    return endpoint;
}

}
