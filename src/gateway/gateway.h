#pragma once

#include "base/error.h"
#include "forward/server_entry.h"
#include "gateway/caller_protocol.h"
#include "gateway/server_protocol.h"
#include "membership/view.h"
#include "routing/route_table.h"
#include "settings/settings.h"
#include "wire/store_news.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <vector>

namespace lycheefield {

/// How callers and servers are spoken to. Both outlive the gateway.
struct GatewayProtocols {
    const CallerProtocol& callers;
    const ServerProtocol& servers;
};

/// What changed in the list of servers.
struct ServerChanges {
    bool isWhole = false; ///< `listed` is the whole list.
    std::vector<ServerEntry> listed;
    std::vector<ServerName> removed;

    friend bool operator==(const ServerChanges&, const ServerChanges&) = default;
};

/// Follows the platform's store for a gateway. Called on the gateway's executor.
class StoreFollower {
public:
    virtual ~StoreFollower() = default;
    /// What another instance saw there.
    virtual void onNews(const StoreNews&) = 0;
    /// 0: this instance watches the store. Else its place among those that ask it when they hear nothing.
    virtual void onRank(std::uint32_t) = 0;
};

/// Where a gateway listens.
struct GatewayEndpoints {
    Endpoint callers;
    Endpoint readiness;
    Endpoint inner; ///< For other instances.

    friend bool operator==(const GatewayEndpoints&, const GatewayEndpoints&) = default;
};

/// One process that takes callers' requests and forwards them straight to backend servers.
///
/// It is ready once it has a configuration and a list of servers. After SIGTERM it stops being
/// ready, goes on serving while the balancer still sends callers, and is gone by the stop limit.
/// The feed of tables is told from outside, on executor().
class Gateway {
public:
    Gateway(const Settings&, GatewayProtocols);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Where all calls below must be made; a strand.
    boost::asio::any_io_executor executor() const;
    /// A new version of the configuration. One that is not newer than the one in force is dropped.
    void onRoutes(RouteTable);
    void onServers(const ServerChanges&);
    /// Whether the last call to the platform's store succeeded.
    void onStoreReachable(bool isReachable);
    /// Who hears of other instances' news. Precondition: it outlives the gateway's run; set before run().
    void setFollower(StoreFollower&);
    /// Tells other instances what this one saw in the store.
    void share(const StoreNews&);
    /// The instances of the fleet: they share the servers' connections and the retry budget, and run searches for each other.
    void onInstances(const std::vector<Instance>&);
    /// What other instances need to reach this one. Call it after listen().
    Instance self() const;

    /// Opens the listening sockets and tells where they are, as the kernel chooses port 0. Call it before run().
    Result<GatewayEndpoints> listen();
    /// Serves until it is told to stop, by SIGTERM or by stop().
    void run();
    /// Begins to stop, as SIGTERM does. Thread safe.
    void stop();

    class Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
