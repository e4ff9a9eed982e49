#pragma once

#include <cstdint>

namespace lycheefield {

/// What may be done with content, in the light of crashes that it was near.
enum class ContentStanding : std::uint8_t {
    Clear,
    Suspect, ///< It was running when a server crashed: one leg goes first, as a probe.
    Quarantined, ///< Refused for a time.
};

}
