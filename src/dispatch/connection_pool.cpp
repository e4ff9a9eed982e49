#include "dispatch/connection_pool.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr auto initialRetryDelay = 20ms;
constexpr std::uint32_t maxRetryDoublings = 6;
/// Descriptors become free at any time, whatever the number of attempts before.
constexpr auto localRetryDelay = 50ms;
constexpr std::uint32_t controlConnections = 1;

}

std::uint32_t workConnectionLimit(std::uint32_t connectionCap, std::uint32_t holders, const RelaySettings& settings)
{
    if (connectionCap <= settings.reservedConnections)
        return 0;
    const auto shared = connectionCap - settings.reservedConnections;
    const auto byShare = static_cast<std::uint32_t>(settings.ownerShareOfCap.value * shared);
    const auto held = std::min(byShare, shared / holders);
    return held > controlConnections ? held - controlConnections : 0;
}

bool ConnectionPool::onConnected(ConnectionId id)
{
    const auto it = m_states.find(id);
    if (it == m_states.end())
        return false;
    if (it->second != State::Opening)
        return true;
    it->second = State::Idle;
    --m_opening;
    m_idle.insert(m_idle.begin(), id);
    m_consecutiveRefusals = 0;
    m_lacksResources = false;
    m_retryAt = never;
    ++m_counters.opened;
    return true;
}

bool ConnectionPool::onLost(ConnectionId id, TimePoint now)
{
    const auto it = m_states.find(id);
    if (it == m_states.end())
        return false;
    const auto wasOpening = it->second == State::Opening;
    m_states.erase(it);
    std::erase(m_idle, id);
    if (!wasOpening)
        return false;
    --m_opening;
    m_retryAt = now + initialRetryDelay * (1U << std::min(m_consecutiveRefusals, maxRetryDoublings));
    ++m_consecutiveRefusals;
    m_lacksResources = false;
    return true;
}

void ConnectionPool::onNotOpened(ConnectionId id, TimePoint now)
{
    if (m_states.erase(id) == 0)
        return;
    --m_opening;
    m_retryAt = now + localRetryDelay;
    m_lacksResources = true;
}

ConnectionId ConnectionPool::takeIdle()
{
    const auto id = m_idle.back();
    m_idle.pop_back();
    m_states[id] = State::Busy;
    return id;
}

void ConnectionPool::release(ConnectionId id)
{
    const auto it = m_states.find(id);
    if (it == m_states.end())
        return;
    it->second = State::Idle;
    m_idle.push_back(id);
}

void ConnectionPool::closeOneIdle(RelayActions& actions)
{
    const auto id = m_idle.front();
    m_idle.erase(m_idle.begin());
    m_states.erase(id);
    actions.push_back(CloseConnection { m_server, id });
}

void ConnectionPool::resize(std::uint32_t wanted, TimePoint now, RelayActions& actions)
{
    wanted = std::min(wanted, m_limit);
    while (size() > wanted && !m_idle.empty())
        closeOneIdle(actions);
    if (m_retryAt != never) {
        if (now < m_retryAt)
            return;
        m_retryAt = never;
    }
    // After a failure, one connection at a time probes whether connections can be opened again.
    if (m_consecutiveRefusals > 0 || m_lacksResources)
        wanted = std::min(wanted, openCount() + 1);
    while (size() < wanted) {
        const ConnectionId id(++m_counters.lastId);
        m_states.emplace(id, State::Opening);
        ++m_opening;
        actions.push_back(OpenConnection { m_server, id });
    }
}

}
