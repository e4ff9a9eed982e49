#include "dispatch/server_group.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

bool ServerGroup::mayTakeOutOfUse(const ServerName& name, Share floor) const
{
    const auto inUse = std::count_if(m_members.begin(), m_members.end(), [&](const auto& it) { return it.first != name && !it.second; });
    return inUse >= std::max(1.0, std::ceil(floor.value * static_cast<double>(m_members.size())));
}

}
