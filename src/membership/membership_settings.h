#pragma once

#include "base/time.h"
#include "base/units.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

/// Periods and bounds of the probes between instances.
struct MembershipSettings {
    Duration probePeriod = 500ms; ///< Between two probes of one instance.
    Duration probeTimeout = 150ms; ///< A probe without an answer for this long is tried through others.
    std::uint32_t indirectProbes = 2; ///< Instances that are asked to probe a silent one.
    Duration suspicionTime = 3s; ///< A suspect that does not refute for this long is gone.
    Duration goneMemory = 10min; ///< How long a gone or left instance is remembered, so that old news does not revive it.
    Duration isolationTime = 5s; ///< Without an answer from any peer or the store for this long, the instance is not ready.
    std::uint32_t maxDigests = 6; ///< Digests in one message at most.
    ByteCount bytesPerSecond = kibibytes(3); ///< Budget for everything sent to peers for membership and rules.
    std::uint32_t watchersPerZone = 2; ///< Instances of a zone that watch the rules in the platform's store.

    friend bool operator==(const MembershipSettings&, const MembershipSettings&) = default;
};

}
