#pragma once

#include "gateway_process.h"
#include "promises.h"
#include "soak_backend.h"

#include "standin/published_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheefield::soak {

struct SoakSettings {
    std::string program; ///< Of the gateway.
    std::string folder; ///< For settings and logs.
    std::uint64_t seed = 1;
    Duration length = std::chrono::minutes(1);
    std::size_t gateways = 4;
    Duration betweenRequests = std::chrono::milliseconds(8);
};

/// Real gateways, a stand-in store, stand-in servers and callers; faults come from outside, several at
/// a time, in waves with calm between, and after the last one everything must be well again.
class SoakWorld {
public:
    explicit SoakWorld(SoakSettings);
    ~SoakWorld();

    /// True when every promise held.
    bool run();

private:
    struct Node {
        std::unique_ptr<FaultLink> storeLink;
        std::unique_ptr<GatewayProcess> process;
        TimePoint disturbedUntil {}; ///< `never` while a fault holds.
        bool isMeantToRun = true; ///< An end that nobody asked for is a fault of the program.
    };
    class Caller;

    void addBackend(const std::string& service, std::size_t number, const std::string& zone);
    void publishConfiguration();
    void loop(Duration);
    void after(Duration, std::function<void()>);
    /// Starts a fault and plans its end.
    void disturb();
    void disturbNode(Node&);
    /// Several short pauses, each about as long as another gateway waits for a confirmation.
    void hiccup(Node&, std::uint64_t times);
    void disturbStore();
    void disturbBackend();
    void drain(SoakBackend&);
    void stopNode(Node&, int signal);
    void watchProcesses();
    void hold(Node&, Duration, const std::function<void()>& begin, const std::function<void()>& end);
    void sendNext();
    void send(Node&);
    void sendAs(Node&, const Attempt&);
    Attempt newAttempt(const Node&, bool isSearch, const std::string& prefix);
    /// Asks every undisturbed gateway for a route that was just added and one that was just dropped.
    void probeConfiguration(std::uint64_t added, std::uint64_t dropped);
    bool isCalm(const Node&) const;
    bool areAllCalm() const;
    std::size_t successesDuring(Duration);
    Duration someTime(Duration least, Duration most);

    SoakSettings m_settings;
    boost::asio::io_context m_io { 1 };
    SeededRandom m_random;
    Promises m_promises;
    standin::PublishedStoreServer m_store;
    Endpoint m_storeEndpoint;
    std::vector<std::unique_ptr<SoakBackend>> m_backends;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::shared_ptr<Caller>> m_callers;
    std::map<std::string, std::size_t> m_faults;
    TimePoint m_storeDisturbedUntil {};
    std::uint64_t m_version = 1;
    std::uint64_t m_lastAttempt = 0;
    bool m_isStorming = false;
    bool m_isSending = false;
    SteadyClock m_clock;
};

}
