#pragma once

#include "base/ids.h"
#include "membership/view.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheefield {

/// Who follows the platform's store for the others, and who tells whom what is new there.
///
/// All instances rank the fleet alike, those with more processor first. The first one watches the
/// store and tells its zone and the first of each other zone, which tells its own: so what is new
/// crosses between zones once for each zone. Whoever had to ask the store itself tells its zone. It
/// does no I/O. Not thread safe.
class NewsPaths {
public:
    NewsPaths(InstanceName self, ZoneName zone);

    /// The instances that can be reached, this one among them or not.
    void onPeers(const std::vector<Instance>&);
    /// 0: this instance watches the store. Else its place among those of its zone, from 1.
    std::uint32_t rank() const;
    /// Who is told what this instance saw in the store.
    std::vector<InstanceName> toTell() const;
    /// Who is told what that instance told this one.
    std::vector<InstanceName> toTellFrom(const InstanceName& teller) const;

private:
    bool isFirstOfAll() const { return !m_ranked.empty() && m_ranked.front().name == m_self; }
    std::vector<InstanceName> othersOfZone() const;

    InstanceName m_self;
    ZoneName m_zone;
    std::vector<Instance> m_ranked;
};

}
