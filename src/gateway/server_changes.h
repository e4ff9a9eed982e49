#pragma once

#include "base/ids.h"
#include "forward/server_entry.h"
#include "gateway/change_origin.h"

#include <vector>

namespace lycheefield {

/// Changes to the list of servers.
struct ServerChanges {
    bool isFullList = false; ///< `listed` is the complete list.
    std::vector<ServerEntry> listed;
    std::vector<ServerName> removed;
    ChangeOrigin origin {};
    bool isNewEpoch = false; ///< The first list since the store came back from an older copy: what it lost is written again.

    friend bool operator==(const ServerChanges&, const ServerChanges&) = default;
};

}
