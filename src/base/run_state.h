#pragma once

#include <cstdint>
#include <string_view>

namespace lycheefield {

/// Whether a request ran, as reported to its caller.
enum class RunState : std::uint8_t {
    Ran,
    NotRun, ///< Reported only when proved.
    Unknown, ///< The request may have run; the system never retries the request.
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
