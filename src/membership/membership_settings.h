#pragma once

#include "base/time.h"
#include "base/units.h"

#include <cstdint>

namespace lycheefield {

using namespace std::chrono_literals;

/// Settings of the probes and gossip between instances.
struct MembershipSettings {
    Duration probePeriod = 500ms; ///< Interval between two probes that an instance starts.
    Duration probeTimeout = 150ms; ///< Time without a response after which a probe is repeated, directly and through others.
    std::uint32_t indirectProbes = 2; ///< Instances that are requested to probe a member that did not respond.
    Duration suspicionTime = 3s; ///< Time after which a suspect that has not refuted is marked gone.
    Duration goneMemory = 10min; ///< Retention of a gone instance, so that an old digest does not revive it.
    Duration isolationTime = 5s; ///< Time without a response from any peer or the store after which the instance is not ready.
    std::uint32_t maxDigests = 6; ///< Maximum number of queued digests in one message.
    ByteCount bytesPerSecond = kibibytes(3); ///< Budget for all traffic with peers for membership and rules.
    std::uint32_t watchersPerZone = 2; ///< Instances per zone that watch the rules in the platform's store.

    friend bool operator==(const MembershipSettings&, const MembershipSettings&) = default;
};

}
