#pragma once

#include "claims/claim_engine.h"
#include "dispatch/relay_engine.h"
#include "fault_matrix/step.h"
#include "fault_matrix/timeline.h"
#include "history/history.h"
#include "membership/view.h"
#include "query/query_engine.h"
#include "standin/backend_server.h"
#include "standin/platform_store.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lycheefield::fault_matrix {

using history::CallRecord;
using history::History;
using history::RunRecord;

/// A defect put into the test bed, mostly a disabled safety mechanism, to show that the checks detect the
/// violations that follow.
enum class Mutation : std::uint8_t {
    None,
    DispatchWithoutClaim,
    LostWriteTreatedAsSuccess,
    AnswersSwapped,
    VersionIgnoredByServers,
    DrainWithoutWaiting,
    DrainNotAnnounced,
    NoQuarantine,
    RefusedClaimReportedNotRun,
    ConnectionCapNotShared, ///< Each relay of a server uses the server's whole connection cap.
};

struct RequestTestBedOptions {
    std::uint64_t seed = 1;
    Mutation mutation = Mutation::None;
};

/// Six instances in three zones, four shards with two servers each, and the platform, on a virtual
/// clock. The query, relay and claim engines are the real ones; the test bed executes their actions on simulated
/// links and servers and on a simulated store. Not thread safe.
class RequestTestBed {
public:
    using StepListener = std::function<void(Step)>;

    explicit RequestTestBed(RequestTestBedOptions);
    ~RequestTestBed();

    static constexpr std::size_t instances = 6;
    static constexpr std::uint32_t shards = 4;
    static constexpr std::uint32_t replicas = 2;

    Timeline& timeline() { return m_timeline; }
    History& history() { return m_history; }
    standin::PlatformStore& store() { return m_store; }
    standin::BackendServer& server(std::uint32_t shard, std::uint32_t replica) { return *m_servers.at(serverName(shard, replica)); }

    /// Sets the listener for the steps of the watched request.
    void watch(StepListener listener) { m_listener = std::move(listener); }

    /// Sends a request to an instance. The first request sent after watch() is the watched one.
    void send(std::size_t instance, RequestKind, const std::string& path, const std::string& body, const std::string& key);

    void stopInstance(std::size_t, Duration downFor);
    void pauseInstance(std::size_t, Duration);
    /// Simulates SIGTERM: the load balancer stops sending requests 1 s later, after which the instance stops as soon
    /// as nothing is in flight.
    void drainInstance(std::size_t);
    bool isStopped(std::size_t) const;
    /// Returns true when the instance restarted at least once.
    bool hasRestarted(std::size_t) const;
    /// Cuts one direction of the link for this time; messages sent meanwhile are delivered at the end of the cut.
    void cutLink(std::size_t from, std::size_t to, Duration);
    /// Gives every instance that runs, for this time, a membership view that lacks the given instance and lists one
    /// that does not exist.
    void publishStaleView(std::size_t unseen, Duration);
    void changeRules();
    void repartition();
    void stopServer(std::uint32_t shard, std::uint32_t replica, Duration);
    void drainServer(std::uint32_t shard, std::uint32_t replica);
    /// Simulates other clients that take up the server's connection cap for this time. The server closes the relays'
    /// idle connections.
    void fillConnections(std::uint32_t shard, std::uint32_t replica, Duration);
    /// Returns the current owner of the server, according to the view of the given instance.
    std::size_t ownerOf(std::uint32_t shard, std::uint32_t replica, std::size_t seenBy) const;

private:
    struct Node;
    struct ServerLink {
        std::size_t node = 0;
        std::uint64_t epoch = 0;
        ConnectionId connection;
        std::optional<LegKey> leg;
    };

    static ServerName serverName(std::uint32_t shard, std::uint32_t replica);
    void buildServers();
    void buildNode(std::size_t);
    std::shared_ptr<const ShardMap> currentMap() const;
    MembershipView currentView() const;
    void setView(std::size_t, const MembershipView&);
    /// Gives every running instance the view, map and rules, each after a random delay between the bounds and in the
    /// state at that time.
    void publishViews(Duration minDelay, Duration maxDelay);
    void runOnNode(std::size_t, std::uint64_t epoch, std::function<void(Node&)>);
    void send(std::size_t from, std::size_t to, std::function<void(Node&)>);
    std::size_t indexOf(const InstanceName&) const;

    void execute(Node&, const QueryActions&);
    void execute(Node&, const RelayActions&);
    void execute(Node&, const ClaimActions&);
    void scheduleWake(Node&);
    void runTimers(Node&);
    void pollHealth(std::size_t node, std::uint64_t epoch);

    void sendWork(Node&, const SendWork&);
    void deliver(Node&, const Answer&);
    void openConnection(Node&, const OpenConnection&);
    void runLeg(Node&, const SendLeg&);
    void onResponses(const ServerName&, const std::vector<standin::BackendResponse>&);
    void respondToRelay(const ServerName&, const standin::BackendResponse&);
    void advanceServer(const ServerName&);
    void closeServerLinks(const ServerName&);
    standin::StoreResult writeStore(const WriteObject&);
    void callStore(Node&, StoreCallId, const std::function<standin::StoreResult()>&);
    void onClaimDecided(Node&, const ClaimDecided&);
    void broadcast(const Node&, const std::function<void(Node&)>&);
    void checkDrain(std::size_t, std::uint64_t epoch, TimePoint serveUntil);
    void reportStep(const RequestId&, Step);
    Duration delayBetween(std::size_t from, std::size_t to) const;
    static std::uint64_t wireId(const Node&, ConnectionId);

    RequestTestBedOptions m_options;
    Timeline m_timeline;
    History m_history;
    SeededRandom m_random;
    standin::PlatformStore m_store;
    std::map<ServerName, std::unique_ptr<standin::BackendServer>> m_servers;
    std::map<ServerName, ZoneName> m_serverZones;
    std::map<ServerName, std::map<std::uint64_t, ServerLink>> m_links;
    std::map<ServerName, std::uint32_t> m_foreignConnections;
    std::set<ServerName> m_drainingServers;
    PartitionEpoch m_epoch { 1 };
    std::shared_ptr<const RuleTable> m_rules;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_cutLinks;
    StepListener m_listener;
    std::optional<RequestId> m_watched;
    std::uint64_t m_ruleRevision = 1;
};

}
