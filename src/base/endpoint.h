#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace lycheefield {

/// IP address and port. Host names are not supported.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    std::string toString() const { return address + ":" + std::to_string(port); }

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}
