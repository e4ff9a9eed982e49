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

/// A protection that is taken out, to show that the checker sees what it protects from.
enum class Mutation : std::uint8_t {
    None,
    DispatchWithoutClaim,
    LostWriteTakenAsDone,
    AnswersSwapped,
    VersionIgnoredByServers,
    DrainLeavesAtOnce,
    DrainNewsLost,
    NoQuarantine,
    RefusedClaimToldNotRun,
    CapNotShared, ///< Each holder of a server takes its whole cap.
};

struct WorldOptions {
    std::uint64_t seed = 1;
    Mutation mutation = Mutation::None;
};

/// Six instances in three zones, four shards with two servers each and the platform, in virtual
/// time: the real query, relay and claim engines, with small fakes at their interfaces.
class RequestWorld {
public:
    using StepListener = std::function<void(Step)>;

    explicit RequestWorld(WorldOptions);
    ~RequestWorld();

    static constexpr std::size_t instances = 6;
    static constexpr std::uint32_t shards = 4;
    static constexpr std::uint32_t replicas = 2;

    Timeline& timeline() { return m_timeline; }
    History& history() { return m_history; }
    standin::PlatformStore& store() { return m_store; }
    standin::BackendServer& server(std::uint32_t shard, std::uint32_t replica) { return *m_servers.at(serverName(shard, replica)); }

    /// Reports the steps of this one request.
    void watch(StepListener listener) { m_listener = std::move(listener); }

    /// Sends a request to an instance; the first one sent after watch() is the watched one.
    void send(std::size_t instance, RequestKind, const std::string& path, const std::string& body, const std::string& key);

    void stopInstance(std::size_t, Duration downFor);
    void pauseInstance(std::size_t, Duration);
    /// SIGTERM: the balancer stops sending a while later; the instance goes when nothing is in flight.
    void drainInstance(std::size_t);
    bool isGone(std::size_t) const;
    /// True when the instance started again since the world began.
    bool hasRestarted(std::size_t) const;
    void cutLink(std::size_t from, std::size_t to, Duration);
    /// All instances see one that does not exist, and don't see the given one.
    void staleView(std::size_t unseen, Duration);
    void changeRules();
    void repartition();
    void stopServer(std::uint32_t shard, std::uint32_t replica, Duration);
    void drainServer(std::uint32_t shard, std::uint32_t replica);
    /// Others fill the server's connections; it closes the idle ones of ours.
    void fillConnections(std::uint32_t shard, std::uint32_t replica, Duration);
    /// The instance that owns the server now, as the given instance sees it.
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
    MembershipView trueView() const;
    void setView(std::size_t, const MembershipView&);
    /// Every instance gets the true view, map and rules, each at a time of its own.
    void spreadViews(Duration soonest, Duration latest);
    void onNode(std::size_t, std::uint64_t epoch, std::function<void(Node&)>);
    void send(std::size_t from, std::size_t to, std::function<void(Node&)>);
    std::size_t indexOf(const InstanceName&) const;

    void execute(Node&, const QueryActions&);
    void execute(Node&, const RelayActions&);
    void execute(Node&, const ClaimActions&);
    void arm(Node&);
    void wake(Node&);
    void pollHealth(std::size_t node, std::uint64_t epoch);

    void sendWork(Node&, const SendWork&);
    void deliver(Node&, const Answer&);
    void openConnection(Node&, const OpenConnection&);
    void runLeg(Node&, const RunLeg&);
    void onReplies(const ServerName&, const std::vector<standin::BackendResponse>&);
    void answerRelay(const ServerName&, const standin::BackendResponse&);
    void advanceServer(const ServerName&);
    void closeServerLinks(const ServerName&);
    standin::PlatformAnswer writeStore(const WriteObject&);
    void callStore(Node&, StoreCallId, const std::function<standin::PlatformAnswer()>&);
    void onClaimDecided(Node&, const ClaimDecided&);
    void broadcast(const Node&, const std::function<void(Node&)>&);
    void checkDrain(std::size_t, std::uint64_t epoch, TimePoint serveUntil);
    void reached(const RequestId&, Step);
    Duration delayBetween(std::size_t from, std::size_t to) const;
    static std::uint64_t wireId(const Node&, ConnectionId);

    WorldOptions m_options;
    Timeline m_timeline;
    History m_history;
    SeededRandom m_random;
    standin::PlatformStore m_store;
    std::map<ServerName, std::unique_ptr<standin::BackendServer>> m_servers;
    std::map<ServerName, ZoneName> m_serverZones;
    std::map<ServerName, std::map<std::uint64_t, ServerLink>> m_links;
    std::map<ServerName, std::uint32_t> m_foreignConnections;
    std::set<ServerName> m_leaving;
    PartitionEpoch m_epoch { 1 };
    std::shared_ptr<const RuleTable> m_rules;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_cuts;
    StepListener m_listener;
    std::optional<RequestId> m_watched;
    std::uint64_t m_ruleRevision = 1;
};

}
