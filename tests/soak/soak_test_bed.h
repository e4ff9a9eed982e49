#pragma once

#include "guarantee_checker.h"
#include "loop_lateness.h"
#include "peer_links.h"
#include "soak_backend.h"
#include "soak_limits.h"

#include "standin/published_store.h"
#include "support/gateway_process.h"

#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheefield::soak {

struct SoakSettings {
    std::string program; ///< Path of the gateway program.
    std::string folder; ///< For the settings and logs of the gateways.
    std::uint64_t seed = 1;
    Duration duration = std::chrono::minutes(1);
    std::size_t gateways = 4;
    Duration requestInterval = std::chrono::milliseconds(8);
};

/// Runs real gateways with a stand-in store, stand-in servers and callers. Injects faults from outside, several
/// at a time, in phases separated by calm phases. Links between gateways have faults in both, because the guarantees for the
/// configuration and for drains don't depend on them. After the last fault, the gateways must recover.
class SoakTestBed {
public:
    explicit SoakTestBed(SoakSettings);
    ~SoakTestBed();

    /// Runs the soak test, prints the result and returns true when no guarantee was violated.
    bool run();

private:
    struct Node {
        std::unique_ptr<FaultLink> storeLink;
        std::vector<std::unique_ptr<FaultLink>> callerLinks; ///< From different addresses to the port for callers.
        std::unique_ptr<GatewayProcess> process;
        TimePoint disturbedUntil {}; ///< End of the last fault of the process or of its link to the store; `never` while one is active.
        TimePoint peersDisturbedUntil {}; ///< End of the last fault of a link with another gateway. Only with peerFaults == 0.
        std::size_t peerFaults = 0; ///< Active faults of links with other gateways.
        bool isExpectedToRun = true; ///< An exit while true is a violation.
        std::size_t peakDescriptors = 0;
        std::size_t peakUndisturbedDescriptors = 0; ///< While the guarantees with a time bound held.
        bool hasFewDescriptors = false; ///< Free ones, when they were last counted.
    };
    class Caller;

    /// Returns the endpoint of the store for that gateway, which is told to connect to the others through the links.
    Endpoint storeEndpointFor(const std::string& gateway);
    void addBackend(const std::string& service, std::size_t number, const std::string& zone);
    void writeEntry(SoakBackend&);
    /// Drains a server and a zone and publishes a configuration. The store may lose that later.
    void changeStore();
    void publishConfiguration();
    /// The configuration's teams, whose quotas the gateways keep. The routes are public, so that no request needs a permit.
    static std::string teams();
    void checkQuotaRoles();
    /// Publishes a later configuration, and probes it when it must be in force.
    void publishNextConfiguration();
    void runFor(Duration);
    void runAfter(Duration, std::function<void()>);
    /// Starts a random fault and schedules its end and the next fault.
    void injectFault();
    void injectGatewayFault(Node&);
    /// Pauses the gateway `times` times, each about as long as another gateway waits for a confirmation.
    void pauseRepeatedly(Node&, std::uint64_t times);
    void injectStoreFault();
    /// Lets the entry of a server lapse while the store has a fault. Returns the server, or null if it can't lapse now.
    SoakBackend* lapseEntry();
    /// Saves a copy of the store, and later brings the store back from the copy, after a short outage.
    void loseStoreWrites(Duration copyAge);
    /// Brings the store back from its saved copy. The operator and the servers write again what they wrote.
    void restoreStore();
    /// all: the servers write all entries again, as after leases that lapsed; otherwise only those that the copy lacks.
    void writeAgain(bool all);
    /// Probes, until the operator has written again, that no gateway takes an older configuration than the one in force.
    void probeAgainstOlderConfiguration(const std::vector<Node*>&);
    void injectServerFault();
    /// Starts a random fault of links between gateways, and schedules its end and the next fault.
    void injectPeerFault();
    using PeerPair = std::pair<Node*, Node*>;
    /// Returns all ordered pairs, or those with the node if one is given.
    std::vector<PeerPair> peerPairs(const Node* = nullptr) const;
    void resetPeerLinks(const Node*);
    /// Gives the links that have none their faults for that time.
    void applyPeerFault(const std::vector<PeerPair>&, Duration, const std::function<LinkFaults()>& draw);
    void drain(SoakBackend&);
    /// Drains a zone, unless a gateway is disturbed, which may then act late.
    void drainZone(const std::string&);
    void stopNode(Node&, int signal);
    /// Restarts processes that have ended; an unexpected end is a violation.
    void watchProcesses();
    /// Notices when the loop runs late, which no check excuses. dueAt: when this call was due.
    void watchLoop(TimePoint dueAt);
    /// Counts the open descriptors of the gateways.
    void watchDescriptors();
    void printSummary() const;
    void startNode(Node&);
    /// Sends SIGHUP before the process has set its handlers, or soon after.
    void signalWhileStarting(Node&);
    /// Stops the process, and starts the next one on the same ports before it has ended.
    void restartInGrace(Node&);
    /// Opens as many connections as the process may have descriptors.
    void openManyConnections(Node&, Duration);
    /// Sends the gateway many searches within a short time, `times` times, at times while servers are slow. The gateway counts as undisturbed,
    /// because the load of callers excuses no late configuration or drain.
    void burstSearches(Node&, std::uint64_t times);
    /// Makes about half of all servers slow for that time.
    void slowDownServers(Duration);
    void applyFault(Node&, Duration, const std::function<void()>& begin, const std::function<void()>& end);
    void sendNext();
    void send(Node&);
    void sendRequest(Node&, const SoakRequest&);
    /// Sends a request that crashes its servers, and schedules the next one.
    void sendCrashing();
    SoakRequest newRequest(const Node&, bool isSearch, const std::string& prefix);
    /// Sends the gateway a request for the route just added and one for the route just dropped.
    void probeConfiguration(const std::string& reason, Node&, std::uint64_t added, std::uint64_t dropped);
    /// Counts the fault, and writes it with the detail to the file faults.log beside the logs of the gateways.
    void countFault(const std::string&, const std::string& detail = {});
    /// Writes the event to that file without counting it.
    void logEvent(const std::string&, const std::string& detail);
    /// Whether the process, its link to the store and the store have had no fault for so long that the configuration and drains must be in force.
    /// The links to other gateways don't matter for these.
    bool isUndisturbed(const Node&) const;
    /// Whether the links with other gateways have had no fault for so long that news of crashes must have come.
    bool hasSoundPeers(const Node&) const;
    bool areAllUndisturbed() const;
    std::size_t successesDuring(Duration);
    Duration randomDuration(Duration min, Duration max);

    /// Of each gateway process.
    static constexpr std::size_t maxDescriptors = 512;
    static constexpr std::uint64_t maxBursts = 4; ///< In a row.
    static const std::vector<std::string> zones;
    static std::set<std::string> shardNames();

    SoakSettings m_settings;
    boost::asio::io_context m_io { 1 };
    SeededRandom m_random;
    GuaranteeChecker m_checker;
    CrashingRequests m_crashing;
    standin::PublishedStoreServer m_store;
    PeerLinks m_peerLinks;
    std::set<PeerPair> m_harmedPairs;
    std::vector<std::unique_ptr<SoakBackend>> m_backends;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::shared_ptr<Caller>> m_callers;
    std::map<std::string, std::size_t> m_faults;
    std::ofstream m_faultLog;
    LoopLateness m_lateness;
    Duration m_processorTime {}; ///< Used when watchLoop() ran last.
    TimePoint m_storeDisturbedUntil {};
    TimePoint m_storeRestoredAt {}; ///< When the store came back from an older copy last.
    bool m_isCopySaved = false; ///< The store will come back from the copy.
    std::set<std::string> m_writtenServers; ///< Since the copy was saved.
    std::set<std::string> m_lapsedServers;
    std::set<std::string> m_drainedZones;
    std::uint64_t m_version = 1;
    std::uint64_t m_previousVersion = 0;
    TimePoint m_publishedAt {}; ///< When m_version was published first.
    std::uint64_t m_lastRequestNumber = 0;
    std::size_t m_crashingSent = 0;
    bool m_isInjecting = false;
    bool m_isInjectingPeerFaults = false;
    bool m_isSending = false;
    SteadyClock m_clock;
};

}
