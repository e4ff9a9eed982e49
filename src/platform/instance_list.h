#pragma once

#include "membership/view.h"

#include <functional>
#include <optional>
#include <vector>

namespace lycheefield {

/// The platform's list of our instances. It lags: it seeds the view and never settles a question
/// of safety. Thread safe.
class InstanceList {
public:
    /// Empty when the platform did not answer.
    using Handler = std::function<void(std::optional<std::vector<Instance>>)>;

    virtual ~InstanceList() = default;
    virtual void fetch(Handler) = 0;
};

}
