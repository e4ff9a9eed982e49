#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheefield {

enum class InstanceHealth : std::uint8_t {
    Alive,
    Suspect, ///< Consecutive probes failed; the instance still owns its blocks.
    Leaving, ///< The instance finishes its requests and takes no new blocks, unless every other instance is leaving too.
    Gone,
};

/// One instance as this process believes it to be.
struct Instance {
    InstanceName name;
    ProcessLife life;
    Endpoint inner; ///< Listens for peers.
    Endpoint http; ///< Listens for callers and operators.
    ZoneName zone;
    InstanceHealth health = InstanceHealth::Alive;
    double cores = 1; ///< CPU capacity available to the instance, in cores.

    /// True when blocks may be assigned to this instance.
    bool canOwn() const { return health == InstanceHealth::Alive || health == InstanceHealth::Suspect; }

    friend bool operator==(const Instance&, const Instance&) = default;
};

/// All instances known to this process. Immutable; share it through Snapshot<MembershipView>.
class MembershipView {
public:
    MembershipView() = default;
    explicit MembershipView(const std::vector<Instance>&);

    const Instance* find(const InstanceName&) const;
    /// Returns the instance with this process life, under any name; null when unknown.
    const Instance* findLife(ProcessLife) const;
    const std::map<InstanceName, Instance>& instances() const { return m_instances; }

    friend bool operator==(const MembershipView&, const MembershipView&) = default;

private:
    std::map<InstanceName, Instance> m_instances;
};

}
