#pragma once

#include <cstdint>

namespace lycheefield {

/// Version of the inner protocol. A frame of another version closes the connection.
constexpr std::int32_t innerProtocolVersion = 1;

}
