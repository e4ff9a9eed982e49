#pragma once

#include <cstdint>
#include <string_view>

namespace lycheefield {

/// Order in which requests are admitted under overload; lower values go first.
enum class Priority : std::uint8_t {
    Van, ///< The caller waits next to a customer: van lookups, ladder previews.
    Desk, ///< A person in an office waits for the answer.
    Batch, ///< No person waits for the answer.
};

constexpr std::string_view toString(Priority priority)
{
    switch (priority) {
    case Priority::Van:
        return "van";
    case Priority::Desk:
        return "desk";
    case Priority::Batch:
        return "batch";
    }
    return "batch";
}

}
