#include "catalog/shard_map.h"

namespace lycheefield {

ShardMap::ShardMap(std::vector<Service> services, std::vector<Server> servers)
{
    for (auto& it : services) {
        auto name = it.name;
        m_services.emplace(std::move(name), std::move(it));
    }
    for (auto& it : servers) {
        auto name = it.name;
        m_servers.emplace(std::move(name), std::move(it));
    }
}

const Service* ShardMap::findService(const ServiceName& name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

const Server* ShardMap::findServer(const ServerName& name) const
{
    const auto it = m_servers.find(name);
    return it == m_servers.end() ? nullptr : &it->second;
}

}
