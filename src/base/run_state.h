#pragma once

#include <cstdint>
#include <string_view>

namespace lycheefield {

/// What a caller is told about whether the request ran.
enum class RunState : std::uint8_t {
    Ran,
    NotRun, ///< Said only when it is proved.
    Unknown, ///< It may have run. Never retried by the system.
};

constexpr std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::Ran:
        return "ran";
    case RunState::NotRun:
        return "not run";
    case RunState::Unknown:
        return "unknown";
    }
    return "unknown";
}

}
