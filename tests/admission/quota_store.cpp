#include "quota_store.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// The time between two writes of others.
constexpr Duration otherWrites = std::chrono::milliseconds(5);

}

void QuotaStore::change(StoredNodes nodes, TimePoint now)
{
    m_states.push_back({ now, std::move(nodes) });
    while (m_states.size() > 1 && m_states[1].since < now - historyTime)
        m_states.pop_front();
}

bool QuotaStore::write(std::size_t node, std::uint64_t expected, StoredNode object, TimePoint now)
{
    auto nodes = at(now);
    const auto known = nodes.objects.find(node);
    if ((known == nodes.objects.end() ? 0 : known->second.version) != expected)
        return false;
    object.version = ++nodes.revision.number;
    nodes.objects[node] = std::move(object);
    change(std::move(nodes), now);
    return true;
}

void QuotaStore::remove(std::size_t node, TimePoint now)
{
    auto nodes = at(now);
    ++nodes.revision.number;
    nodes.objects.erase(node);
    change(std::move(nodes), now);
}

void QuotaStore::restore(TimePoint copyOf, TimePoint now)
{
    auto nodes = at(copyOf);
    nodes.revision.epoch = m_states.back().nodes.revision.epoch + 1;
    change(std::move(nodes), now);
}

StoredNodes QuotaStore::at(TimePoint time) const
{
    const auto after = std::find_if(m_states.begin(), m_states.end(), [&](const State& it) { return it.since > time; });
    const auto& state = after == m_states.begin() ? *after : *std::prev(after);
    auto nodes = state.nodes;
    if (!m_isQuiet && time > state.since)
        nodes.revision.number += static_cast<std::uint64_t>((time - state.since) / otherWrites);
    return nodes;
}

}
