#pragma once

#include <cstdint>

namespace lycheefield {

enum class LogFormat : std::uint8_t {
    Text,
    Json,
};

}
