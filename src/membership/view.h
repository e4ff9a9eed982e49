#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheefield {

enum class InstanceHealth : std::uint8_t {
    Alive,
    Suspect, ///< A probe failed; it still owns its blocks.
    Leaving, ///< It finishes what it has and takes no new blocks, unless every other instance is leaving too.
    Gone,
};

/// One instance as this process sees it.
struct Instance {
    InstanceName name;
    ProcessLife life;
    Endpoint inner; ///< Where peers reach it.
    Endpoint http; ///< Where callers and operators reach it.
    ZoneName zone;
    InstanceHealth health = InstanceHealth::Alive;
    double cores = 1; ///< Processor that it may use, in cores.

    /// True when blocks may be assigned to it.
    bool canOwn() const { return health == InstanceHealth::Alive || health == InstanceHealth::Suspect; }

    friend bool operator==(const Instance&, const Instance&) = default;
};

/// The instances that this process knows of. Immutable; share it through Snapshot<MembershipView>.
class MembershipView {
public:
    MembershipView() = default;
    explicit MembershipView(const std::vector<Instance>&);

    const Instance* find(const InstanceName&) const;
    /// The instance of that process life, whatever its name; null when unknown.
    const Instance* findLife(ProcessLife) const;
    const std::map<InstanceName, Instance>& instances() const { return m_instances; }

    friend bool operator==(const MembershipView&, const MembershipView&) = default;

private:
    std::map<InstanceName, Instance> m_instances;
};

}
