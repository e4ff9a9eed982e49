#pragma once

#include "admission/instance_listing.h"
#include "base/error.h"
#include "gateway/caller_protocol.h"
#include "gateway/change_origin.h"
#include "gateway/followed_objects.h"
#include "gateway/server_changes.h"
#include "gateway/server_protocol.h"
#include "gateway/state_proof.h"
#include "observe/metrics.h"
#include "query/crash_news.h"
#include "routing/route_table.h"
#include "settings/settings.h"
#include "wire/store_news.h"
#include "wire/store_state_request.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <set>
#include <vector>

namespace lycheefield {

class InstanceRegistry;

/// The protocols for callers and servers. Both outlive the gateway.
struct GatewayProtocols {
    const CallerProtocol& callers;
    const ServerProtocol& servers;
};

/// Follows the platform's store for a gateway. Called on the gateway's executor.
class StoreFollower {
public:
    virtual ~StoreFollower() = default;
    /// Another instance sent what it read from the store.
    virtual void onNews(const InstanceName& from, const StoreNews&) = 0;
    /// 0: this instance watches the store. Otherwise its place among the instances of its zone, which query
    /// the store in turn when no news arrives. The first call means that the instances of the fleet are known.
    virtual void onRank(std::uint32_t) = 0;
    /// Another instance asks for the state that this one knows; Gateway::sendStoreState() answers.
    virtual void onStateRequested(const InstanceName&, const StoreStateRequest&) = 0;
    /// The request for another instance's state could not be delivered.
    virtual void onStateRequestFailed(const StoreStateRequest&) = 0;
};

/// Keeps quarantined contents where they outlast all processes that know them. Called on the gateway's executor.
class QuarantineStore {
public:
    virtual ~QuarantineStore() = default;
    /// This instance has quarantined the content.
    virtual void keep(const CrashNews&) = 0;
};

/// The endpoints where a gateway listens.
struct GatewayEndpoints {
    Endpoint callers;
    Endpoint readiness;
    Endpoint inner; ///< For other instances.

    friend bool operator==(const GatewayEndpoints&, const GatewayEndpoints&) = default;
};

/// One process that accepts callers' requests and forwards them directly to backend servers.
///
/// The gateway is ready once it has a configuration and a list of servers that may get work. After SIGTERM the gateway
/// reports that it is not ready, goes on serving while the balancer still sends callers, and exits within
/// the stop limit. The owner delivers the configuration, the servers and the instances on executor().
class Gateway {
public:
    Gateway(const Settings&, GatewayProtocols);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// The strand on which all functions below except stop() must be called while run() runs.
    boost::asio::any_io_executor executor() const;
    /// Applies a configuration. A version that is not newer than the one in force is ignored.
    void onRoutes(RouteTable, const ChangeOrigin& = {});
    /// Records that the configuration in force was the latest one when a call to the store was sent at that time, on the BootClock; the
    /// epoch is no proof. See AdmissionSettings::revocationLimit.
    void onConfigurationConfirmed(TimePoint sentAt);
    /// Records up to when and to which revision all changes of these objects are known. Called after the changes themselves.
    void onStateProof(FollowedObjects, const StateProof&);
    void onServers(const ServerChanges&);
    /// Replaces the zones whose servers get no new work. While the settings follow drains, no server gets work before the first
    /// call, for no longer than their limit. isNewEpoch: see ServerChanges.
    void onDrainedZones(const std::set<ZoneName>&, bool isNewEpoch = false);
    /// Whether the last call to the platform's store succeeded.
    void onStoreReachable(bool isReachable);
    /// Sets the receiver of other instances' news. Preconditions: called before run(); the follower outlives run().
    void setFollower(StoreFollower&);
    /// Sets where quarantined contents are kept. Preconditions: called before run(); the store outlives run().
    void setQuarantineStore(QuarantineStore&);
    /// Applies quarantines that were kept by earlier processes or other instances.
    void onQuarantines(const std::vector<CrashNews>&);
    /// Returns the contents that this instance knows as suspect or quarantined.
    std::vector<CrashNews> crashAnnouncements() const;
    /// Sends other instances what this one read from the store.
    void announceNews(const StoreNews&);
    /// Asks an instance of this zone for the state of the store that it knows; it answers with news from revision 0.
    /// Returns false when there is no instance to ask.
    bool requestStoreState(const std::string& prefix);
    /// Answers another instance's request for the state.
    void sendStoreState(const InstanceName&, const StoreNews&);
    /// Sets the instances of the fleet, which share the servers' connections and the retry budget, and
    /// delegate legs of searches to each other. Before the listing is settled no instance watches the store on behalf of the others.
    /// Called periodically, also without a change.
    void onInstances(const InstanceListing&);
    /// Whether the next listing must be the store's latest one, as this instance keeps quotas or is to do so.
    bool needsLatestListing() const;
    /// This instance's object has left the store within an epoch. Called before it is written again.
    void onObjectLost();
    /// What this instance's object in the store has to declare.
    RoleDeclaration roleDeclaration() const;
    /// Sets who reads listings and writes this instance's object between the periodic times. Preconditions: called before run(); the registry outlives run().
    void setInstanceRegistry(InstanceRegistry&);
    /// The metrics that this instance serves on its metrics port. Thread safe.
    Metrics& metrics();
    /// What other instances need to reach this one. Precondition: listen() has succeeded.
    Instance self() const;

    /// Opens the listening ports and returns their endpoints; for port 0 the kernel chooses the port. A port that is in use is tried
    /// again while run() runs, and the gateway is not ready before. Precondition: called before run().
    Result<GatewayEndpoints> listen();
    /// Serves until SIGTERM or stop(). A handler that throws ends its own request only.
    void run();
    /// Starts the same graceful stop as SIGTERM. Thread safe.
    void stop();

    class Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
