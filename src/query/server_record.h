#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace lycheefield {

/// What an entry knows of one backend server: its relay's last word and our own legs there.
struct ServerRecord {
    ServerName name;
    std::optional<ServerState> state;
    TimePoint stateAt {}; ///< When state was heard.
    std::uint32_t outstanding = 0; ///< Our own legs there whose result is awaited.
};

}
