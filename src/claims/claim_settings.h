#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

struct ClaimSettings {
    std::uint32_t partitions = 16; ///< Head objects over which keys are spread. The same on every instance.
    Duration batchWindow = 5ms; ///< Claims that come within it share one write.
    Duration keyLifetime = 24h; ///< After this a key is forgotten.
    std::uint32_t maxClaimsPerHead = 4000; ///< A fuller head is sealed into a segment.

    friend bool operator==(const ClaimSettings&, const ClaimSettings&) = default;
};

}
