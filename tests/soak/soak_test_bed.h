#pragma once

#include "guarantee_checker.h"
#include "soak_backend.h"

#include "standin/published_store.h"
#include "support/gateway_process.h"

#include <functional>
#include <memory>
#include <string>
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
/// at a time, in phases separated by calm phases. After the last fault, the gateways must recover.
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
        TimePoint disturbedUntil {}; ///< End of the last fault; `never` while a fault is active.
        bool isExpectedToRun = true; ///< An exit while true is a violation.
    };
    class Caller;

    void addBackend(const std::string& service, std::size_t number, const std::string& zone);
    void publishConfiguration();
    void runFor(Duration);
    void runAfter(Duration, std::function<void()>);
    /// Starts a random fault and schedules its end and the next fault.
    void injectFault();
    void injectGatewayFault(Node&);
    /// Pauses the gateway `times` times, each about as long as another gateway waits for a confirmation.
    void pauseRepeatedly(Node&, std::uint64_t times);
    void injectStoreFault();
    void injectServerFault();
    void drain(SoakBackend&);
    /// Drains a zone, unless a gateway is disturbed, which may then act late.
    void drainZone(const std::string&);
    void stopNode(Node&, int signal);
    /// Restarts processes that have ended; an unexpected end is a violation.
    void watchProcesses();
    void startNode(Node&);
    /// Sends SIGHUP before the process has set its handlers, or soon after.
    void signalWhileStarting(Node&);
    /// Stops the process, and starts the next one on the same ports before it has ended.
    void restartInGrace(Node&);
    /// Opens as many connections as the process may have descriptors.
    void openManyConnections(Node&, Duration);
    void applyFault(Node&, Duration, const std::function<void()>& begin, const std::function<void()>& end);
    void sendNext();
    void send(Node&);
    void sendRequest(Node&, const SoakRequest&);
    /// Sends a request that crashes its servers, and schedules the next one.
    void sendCrashing();
    SoakRequest newRequest(const Node&, bool isSearch, const std::string& prefix);
    /// Sends every undisturbed gateway a request for the route just added and one for the route just dropped.
    void probeConfiguration(std::uint64_t added, std::uint64_t dropped);
    bool isUndisturbed(const Node&) const;
    bool areAllUndisturbed() const;
    std::size_t successesDuring(Duration);
    Duration randomDuration(Duration min, Duration max);

    /// Of each gateway process.
    static constexpr std::size_t maxDescriptors = 512;

    SoakSettings m_settings;
    boost::asio::io_context m_io { 1 };
    SeededRandom m_random;
    GuaranteeChecker m_checker;
    CrashingRequests m_crashing;
    standin::PublishedStoreServer m_store;
    Endpoint m_storeEndpoint;
    std::vector<std::unique_ptr<SoakBackend>> m_backends;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::shared_ptr<Caller>> m_callers;
    std::map<std::string, std::size_t> m_faults;
    TimePoint m_storeDisturbedUntil {};
    std::uint64_t m_version = 1;
    std::uint64_t m_lastRequestNumber = 0;
    std::size_t m_crashingSent = 0;
    bool m_isInjecting = false;
    bool m_isSending = false;
    SteadyClock m_clock;
};

}
