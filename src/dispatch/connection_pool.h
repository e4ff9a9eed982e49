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

/// Connections that one relay may hold at a server: its share of the cap, one of which is the
/// control connection, which the pool does not open. `holders` is Ownership::holdersOfServer(). Zero
/// when the cap is too small for so many.
std::uint32_t workConnectionLimit(std::uint32_t connectionCap, std::uint32_t holders, const RelaySettings&);

/// Connection ids and counts over all pools of one engine.
struct ConnectionCounters {
    std::uint64_t lastId = 0;
    std::uint64_t opened = 0;
};

/// The connections of one relay to one server. Never more than the limit, counting those that are
/// being opened. A refused connection doubles the wait before the next try. Not thread safe.
class ConnectionPool {
public:
    ConnectionPool(ServerName server, ConnectionCounters& counters)
        : m_server(std::move(server))
        , m_counters(counters)
    {
    }

    /// Sets how many may be open at most; surplus idle connections are closed by balance().
    void setLimit(std::uint32_t limit) { m_limit = limit; }
    std::uint32_t limit() const { return m_limit; }

    /// False when the connection is not of this pool: the caller must close it.
    bool onConnected(ConnectionId);
    /// Forgets a connection. True when it had not been open: the server refused it.
    bool onLost(ConnectionId, TimePoint);

    bool hasIdle() const { return !m_idle.empty(); }
    /// The most recently used idle connection. Precondition: hasIdle().
    ConnectionId takeIdle();
    /// Gives back a connection taken by takeIdle().
    void release(ConnectionId);

    /// Opens connections until `wanted` are open or opening; closes idle ones beyond it.
    void balance(std::uint32_t wanted, TimePoint, RelayActions&);
    /// When balance() may open again after a refusal; `never` when it is not waiting.
    TimePoint retryAt() const { return m_retryAt; }

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_states.size()); }
    std::uint32_t openCount() const { return size() - m_opening; }
    /// Refused opens since the last that succeeded.
    std::uint32_t refusedInARow() const { return m_refusedInARow; }

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
    std::vector<ConnectionId> m_idle; ///< Last used last.
    std::uint32_t m_opening = 0;
    std::uint32_t m_limit = 0;
    std::uint32_t m_refusedInARow = 0;
    TimePoint m_retryAt = never;
};

}
