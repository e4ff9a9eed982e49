#include "gateway/connection_queue.h"

#include <algorithm>

namespace lycheefield {

void ConnectionQueue::push(const ServerConnectionPtr& connection, TimePoint now)
{
    m_all.push_back({ connection, now });
    addToServer(connection);
}

void ConnectionQueue::pushFirst(const ServerConnectionPtr& connection, TimePoint now)
{
    m_all.push_front({ connection, now });
    addToServer(connection);
}

void ConnectionQueue::addToServer(const ServerConnectionPtr& connection)
{
    if (connection->request())
        m_requests[connection->key()].push_back(connection);
}

void ConnectionQueue::erase(const ServerConnectionPtr& connection)
{
    const auto it = std::find_if(m_all.begin(), m_all.end(), [&](const auto& entry) { return entry.connection == connection; });
    if (it == m_all.end())
        return;
    m_all.erase(it);
    const auto requests = m_requests.find(connection->key());
    if (requests == m_requests.end())
        return;
    std::erase(requests->second, connection);
    if (requests->second.empty())
        m_requests.erase(requests);
}

ServerConnectionPtr ConnectionQueue::firstRequestTo(const ServerKey& server) const
{
    const auto it = m_requests.find(server);
    return it == m_requests.end() ? nullptr : it->second.front();
}

}
