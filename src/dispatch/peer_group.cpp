#include "dispatch/peer_group.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lycheefield {

bool PeerGroup::mayTakeOut(const ServerName& name, Share floor) const
{
    const auto inUse = std::count_if(m_members.begin(), m_members.end(), [&](const auto& it) { return it.first != name && !it.second.isOut; });
    return inUse >= std::max(1.0, std::ceil(floor.value * static_cast<double>(m_members.size())));
}

Duration PeerGroup::medianOfOthers(const ServerName& name) const
{
    constexpr std::size_t fewestToCompare = 2;
    std::vector<Duration> latencies;
    for (const auto& [other, member] : m_members) {
        if (other != name && !member.isOut && member.latency > Duration {})
            latencies.push_back(member.latency);
    }
    if (latencies.size() < fewestToCompare)
        return {};
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

}
