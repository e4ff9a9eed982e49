#pragma once

#include <cstdint>

namespace lycheefield {

/// Version of the inner protocol. A frame with another version closes its connection.
constexpr std::int32_t innerProtocolVersion = 1;

}
