#include "forward/unlisted_servers.h"

#include "forward/server_pool.h"

#include <utility>

namespace lycheefield {

void UnlistedServers::add(std::shared_ptr<TrackedServer> server)
{
    const auto name = server->entry.name;
    m_servers[name] = std::move(server);
    m_order.push_back(name);
    while (m_order.size() > maxServers) {
        m_servers.erase(m_order.front());
        m_order.pop_front();
    }
}

std::shared_ptr<TrackedServer> UnlistedServers::take(const ServerEntry& entry)
{
    const auto it = m_servers.find(entry.name);
    if (it == m_servers.end())
        return nullptr;
    auto server = std::move(it->second);
    m_servers.erase(it);
    return server->isOfProcess(entry) ? server : nullptr;
}

}
