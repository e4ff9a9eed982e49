#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// What an instance announces to all others about content that crashed servers.
struct CrashNews {
    Fingerprint fingerprint;
    std::uint32_t crashes = 0; ///< Separate crashes; zero when a server of the service has served the content since.
    Duration quarantine {}; ///< Zero when the content is only suspect.
    ServerName server; ///< The crashed server; empty when the announcement names none.
    ServiceName service {}; ///< The service of the server, or of the crash that started the quarantine; empty when unknown.

    friend bool operator==(const CrashNews&, const CrashNews&) = default;
};

}
