#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <set>
#include <unordered_map>

namespace lycheefield {

/// Avoids instances that didn't answer, each for a time that doubles with its failures. Performs no I/O. Not thread safe.
class KeeperBackoff {
public:
    bool mayAsk(const InstanceName&, TimePoint) const;
    /// Whether the last call to the instance was answered.
    bool hasAnswered(const InstanceName&) const;
    void recordAnswer(const InstanceName& name) { m_failures[name] = {}; }
    void recordFailure(const InstanceName&, TimePoint);
    /// Records that this process lacked the resources to send a call. The pause before the next one doesn't grow.
    void recordNotSent(const InstanceName&, TimePoint);
    /// Forgets all other instances.
    void keepOnly(const std::set<InstanceName>&);

private:
    struct Failures {
        std::uint32_t count = 0;
        TimePoint avoidUntil {};
    };

    std::unordered_map<InstanceName, Failures> m_failures; ///< Also of instances that answered last, which have none.
};

}
