#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// What a relay tells every instance about content that crashed a server.
struct CrashNews {
    Fingerprint fingerprint;
    std::uint32_t crashes = 0; ///< Zero: a probe cleared the content.
    Duration quarantine {}; ///< Zero: under suspicion only.
    ServerName server; ///< The server that crashed; empty when the news does not say.

    friend bool operator==(const CrashNews&, const CrashNews&) = default;
};

}
