#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace lycheefield {

/// From where a change of the configuration or of the servers reached this instance, for the log.
struct ChangeOrigin {
    InstanceName announcedBy; ///< Empty: this instance read the change from the store.
    std::uint64_t epoch = 0; ///< Of the store when it gave the revision.
    std::uint64_t revision = 0; ///< Of the store.

    std::string source() const { return announcedBy.value().empty() ? "store" : announcedBy.value(); }

    friend bool operator==(const ChangeOrigin&, const ChangeOrigin&) = default;
};

}
