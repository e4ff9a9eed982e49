#pragma once

#include "gateway/server_connection.h"

#include <cstddef>
#include <deque>
#include <map>

namespace lycheefield {

/// The connections that are to be opened once the limit on connections allows it, in the order in which they were queued.
/// Not thread safe.
class ConnectionQueue {
public:
    /// Precondition: the connection isn't queued.
    void push(const ServerConnectionPtr&, TimePoint now);
    /// Queues the connection before all others. Precondition: it isn't queued.
    void pushFirst(const ServerConnectionPtr&, TimePoint now);
    /// Has no effect on a connection that isn't queued.
    void erase(const ServerConnectionPtr&);
    bool isEmpty() const { return m_all.empty(); }
    std::size_t size() const { return m_all.size(); }
    /// Precondition: the queue isn't empty.
    const ServerConnectionPtr& first() const { return m_all.front().connection; }
    /// How long the first connection has been queued. Precondition: the queue isn't empty.
    Duration longestWait(TimePoint now) const { return now - m_all.front().since; }
    /// Returns the first connection to the server that carries a request; null when there is none.
    ServerConnectionPtr firstRequestTo(const ServerKey&) const;

private:
    struct Entry {
        ServerConnectionPtr connection;
        TimePoint since;
    };

    void addToServer(const ServerConnectionPtr&);

    std::deque<Entry> m_all;
    std::map<ServerKey, std::deque<ServerConnectionPtr>> m_requests; ///< The connections that carry a request, by server.
};

}
