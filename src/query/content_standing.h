#pragma once

#include <cstdint>
#include <string_view>

namespace lycheefield {

/// How the entry treats content, given the server crashes during which the content ran.
enum class ContentStanding : std::uint8_t {
    Clear,
    Suspect, ///< The content was running when a server crashed: one leg is sent first, as a probe.
    Quarantined, ///< Requests with the content are refused for a limited time.
};

constexpr std::string_view toString(ContentStanding standing)
{
    switch (standing) {
    case ContentStanding::Clear:
        return "clear";
    case ContentStanding::Suspect:
        return "suspect";
    case ContentStanding::Quarantined:
        break;
    }
    return "quarantined";
}

}
