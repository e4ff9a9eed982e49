#pragma once

#include <cstdint>
#include <string_view>

namespace lycheefield {

/// Order in which work is admitted under overload; smaller goes first.
enum class Priority : std::uint8_t {
    Van, ///< A caller waits beside a customer: van lookups, ladder previews.
    Desk, ///< A person waits in an office.
    Batch, ///< Nobody waits.
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
