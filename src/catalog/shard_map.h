#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

/// One backend server as the catalog describes it.
struct Server {
    ServerName name;
    Endpoint endpoint;
    ZoneName zone;
    ServiceName service;
    std::uint32_t slots = 0; ///< Requests that the server runs concurrently.
    std::uint32_t connectionCap = 0; ///< Connections that the server accepts in total, from all clients.
    bool leaving = false;
    std::vector<IndexVersion> versions; ///< Index versions last reported as served, ascending.

    friend bool operator==(const Server&, const Server&) = default;
};

struct Shard {
    ShardNumber number;
    std::vector<BatchId> batches;
    std::vector<ServerName> replicas;

    friend bool operator==(const Shard&, const Shard&) = default;
};

struct Service {
    ServiceName name;
    PartitionEpoch epoch;
    std::vector<Shard> shards; ///< shards[i].number is i.

    friend bool operator==(const Service&, const Service&) = default;
};

/// All services, their shards and their servers at one point in time. Immutable; share it through
/// Snapshot<ShardMap>.
class ShardMap {
public:
    ShardMap() = default;
    /// Precondition: every replica named by a shard is among the servers.
    ShardMap(std::vector<Service>, std::vector<Server>);

    /// Returns null when no service has this name. The pointer is valid as long as this map.
    const Service* findService(const ServiceName&) const;
    /// Returns null when no server has this name. The pointer is valid as long as this map.
    const Server* findServer(const ServerName&) const;

    const std::map<ServiceName, Service>& services() const { return m_services; }
    const std::map<ServerName, Server>& servers() const { return m_servers; }

    friend bool operator==(const ShardMap&, const ShardMap&) = default;

private:
    std::map<ServiceName, Service> m_services;
    std::map<ServerName, Server> m_servers;
};

}
