#pragma once

#include "base/ids.h"
#include "base/random_source.h"
#include "dispatch/relay_action.h"
#include "dispatch/relay_settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// Returns how many work connections one relay may hold to a server: the relay's share of the cap,
/// less the control connection, which the pool does not open. `holders` is
/// Ownership::holdersOfServer(). Zero when the cap is too small for that many holders.
std::uint32_t workConnectionLimit(std::uint32_t connectionCap, std::uint32_t holders, const RelaySettings&);

/// The last connection id and the connection counts over all pools of one engine.
struct ConnectionCounters {
    std::uint64_t lastId = 0;
    std::uint64_t opened = 0;
};

/// The connections of one relay to one server. Their number, including those being opened, never
/// exceeds the limit. Each refused connection doubles the wait before the next one is opened; one that
/// this process lacked the resources to open does not. Not thread safe.
class ConnectionPool {
public:
    ConnectionPool(ServerName server, ConnectionCounters& counters)
        : m_server(std::move(server))
        , m_counters(counters)
    {
    }

    /// Sets the maximum number of connections; resize() closes surplus idle ones.
    void setLimit(std::uint32_t limit) { m_limit = limit; }
    std::uint32_t limit() const { return m_limit; }

    /// Records an opened connection. Returns false when the connection does not belong to this pool: the
    /// caller must close it.
    bool onConnected(ConnectionId);
    /// Removes a connection. Returns true when the server refused it, that is, it had not been open.
    bool onLost(ConnectionId, TimePoint);

    /// Removes a connection that this process had no descriptor, port or memory to open. The server did not refuse it.
    void onNotOpened(ConnectionId, TimePoint);

    bool hasIdle() const { return !m_idle.empty(); }
    /// Returns the most recently used idle connection and marks it busy. Precondition: hasIdle().
    ConnectionId takeIdle();
    /// Returns a connection taken by takeIdle() to the pool.
    void release(ConnectionId);

    /// Opens connections until `wanted` are open or being opened; closes idle ones beyond that number.
    void resize(std::uint32_t wanted, TimePoint, RelayActions&);
    /// When resize() may next open a connection after one that was not opened; `never` when no wait is in force.
    TimePoint retryAt() const { return m_retryAt; }

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_states.size()); }
    std::uint32_t openCount() const { return size() - m_opening; }
    /// True when no connection is open, and this process lacked the resources for the last one that it tried to open.
    bool lacksResources() const { return m_lacksResources && openCount() == 0; }
    /// Connections refused since one was last opened.
    std::uint32_t consecutiveRefusals() const { return m_consecutiveRefusals; }

private:
    enum class State : std::uint8_t {
        Opening,
        Idle,
        Busy,
    };

    void closeOneIdle(RelayActions&);

    ServerName m_server;
    ConnectionCounters& m_counters;
    std::map<ConnectionId, State> m_states;
    std::vector<ConnectionId> m_idle; ///< Least recently used first.
    std::uint32_t m_opening = 0;
    std::uint32_t m_limit = 0;
    std::uint32_t m_consecutiveRefusals = 0;
    bool m_lacksResources = false;
    TimePoint m_retryAt = never;
};

}
