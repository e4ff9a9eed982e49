#pragma once

#include "base/ids.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "dispatch/relay_action.h"

#include <cstdint>
#include <vector>

namespace lycheefield {

/// One crash of one server: all the connections that it lost within a moment.
using CrashId = StrongId<struct CrashIdTag, std::uint64_t>;

enum class CrashStanding : std::uint8_t {
    Watched, ///< It was running at a crash, but servers answer it.
    Suspect, ///< It runs only as a probe: alone at a server, once at a time.
    Quarantined, ///< It crashed a server as a probe and is refused.
};

/// What is known against one content.
struct CrashRecord {
    CrashStanding standing = CrashStanding::Watched;
    std::uint32_t crashes = 0;
    std::vector<CrashId> ownCrashes; ///< Crashes that this relay saw.
    std::vector<CrashLocation> crashedServers; ///< Where servers crashed while it ran; an empty name is one not told.
    bool isProbing = false;
    TimePoint probeNotBefore {};
    TimePoint quarantinedAt {};
    TimePoint announcedAt {};
    TimePoint until {}; ///< The standing ends.
};

}
