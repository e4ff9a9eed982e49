#pragma once

#include "base/ids.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "dispatch/relay_action.h"

#include <cstdint>
#include <vector>

namespace lycheefield {

/// One crash of one server: covers all connections to the server that broke within the crash window.
using CrashId = StrongId<struct CrashIdTag, std::uint64_t>;

/// The evidence against a content, weakest first.
enum class ContentState : std::uint8_t {
    Watched, ///< The content was running at a crash, but servers have answered it.
    Suspect, ///< The content runs only as a probe: alone at a server, one leg at a time.
    Quarantined, ///< The content crashed a server as a probe and is refused.
};

/// The crash evidence against one content.
struct CrashRecord {
    ContentState state = ContentState::Watched;
    std::uint32_t crashes = 0;
    std::vector<CrashId> observedCrashes; ///< Crashes seen by this relay itself.
    std::vector<CrashLocation> crashedServers; ///< Where servers crashed while the content ran; an empty name stands for an unknown server.
    bool isProbing = false;
    TimePoint probeNotBefore {};
    TimePoint quarantinedAt {};
    TimePoint announcedAt {};
    TimePoint expiresAt {}; ///< When the record ceases to apply.
};

}
