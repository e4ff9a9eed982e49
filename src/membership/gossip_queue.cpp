#include "membership/gossip_queue.h"

#include <algorithm>

namespace lycheefield {

void GossipQueue::add(const InstanceName& name)
{
    const auto it = std::find_if(m_pending.begin(), m_pending.end(), [&](const auto& pending) { return pending.name == name; });
    if (it == m_pending.end())
        m_pending.push_back({ name, 0 });
    else
        it->transmissions = 0;
}

std::vector<InstanceName> GossipQueue::take(std::size_t limit, std::uint32_t transmitLimit)
{
    std::stable_sort(m_pending.begin(), m_pending.end(), [](const auto& a, const auto& b) { return a.transmissions < b.transmissions; });
    std::vector<InstanceName> names;
    for (std::size_t i = 0; i < std::min(limit, m_pending.size()); ++i) {
        ++m_pending[i].transmissions;
        names.push_back(m_pending[i].name);
    }
    std::erase_if(m_pending, [&](const auto& pending) { return pending.transmissions >= transmitLimit; });
    return names;
}

}
