#pragma once

#include "membership/view.h"

#include <functional>
#include <optional>
#include <vector>

namespace lycheefield {

/// The platform's list of this system's instances. The list lags, so it only seeds the membership view; no
/// decision that safety depends on may rely on it. Thread safe.
class InstanceList {
public:
    /// Receives nothing when the platform did not respond.
    using Handler = std::function<void(std::optional<std::vector<Instance>>)>;

    virtual ~InstanceList() = default;
    virtual void fetch(Handler) = 0;
};

}
