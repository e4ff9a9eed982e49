#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// What a relay announces to all instances about content that crashed a server.
struct CrashNews {
    Fingerprint fingerprint;
    std::uint32_t crashes = 0; ///< Zero when a probe cleared the content.
    Duration quarantine {}; ///< Zero when the content is only suspect.
    ServerName server; ///< The crashed server; empty when the announcement names none.

    friend bool operator==(const CrashNews&, const CrashNews&) = default;
};

}
