#pragma once

#include <cstdint>

namespace lycheefield {

/// When one leg of a search goes ahead of the others, so that content which crashes servers fells one.
/// Content under suspicion always sends one leg first.
enum class CanaryMode : std::uint8_t {
    Always, ///< Before every search.
    SuspectOnly,
};

}
