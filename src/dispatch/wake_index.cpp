#include "dispatch/wake_index.h"

namespace lycheefield {

std::vector<WakeIndex::Serial> WakeIndex::dueBy(TimePoint now) const
{
    std::vector<Serial> due;
    for (auto it = m_order.begin(); it != m_order.end() && it->first <= now; ++it)
        due.push_back(it->second);
    return due;
}

void WakeIndex::set(Serial serial, TimePoint at)
{
    const auto it = m_times.find(serial);
    if (it == m_times.end()) {
        if (at == never)
            return;
        m_times.emplace(serial, at);
        m_order.emplace(at, serial);
        return;
    }
    if (it->second == at)
        return;
    auto node = m_order.extract({ it->second, serial });
    if (at == never) {
        m_times.erase(it);
        return;
    }
    it->second = at;
    node.value().first = at;
    m_order.insert(std::move(node));
}

}
