#pragma once

#include "dispatch/relay_engine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lycheefield {

/// One simulated backend server.
struct TestBedServer {
    std::string name;
    std::uint32_t shard = 0;
    std::uint32_t slots = 2;
    std::uint32_t cap = 25;
    std::uint32_t queueLimit = 4; ///< Legs that wait at the server beyond its slots; more are shed.
    Duration serviceTime = 10ms; ///< Mean; exponential above half of it.
    double slowFactor = 1;
    Duration restartTime = 1s;
    double coldFactor = 1; ///< How much slower it is for coldTime after a restart.
    Duration coldTime {};
    bool isColdByLoad = false; ///< The factor counts once for each leg that runs.
    bool isUp = true;
    bool isDraining = false;
    bool isFailing = false;
    bool isHung = false;
};

/// Engines and simulated servers in virtual time. Every step checks the promises of the relay role;
/// violations() lists what was broken.
class RelayTestBed {
public:
    using OnResult = std::function<void(const LegResult&)>;

    explicit RelayTestBed(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void addServer(const TestBedServer&);
    void addRelay(const std::string& name, const RelaySettings& = {});
    /// Gives one relay the tables as a view of these instances shows them.
    void publish(const std::string& relay, const std::vector<std::string>& instances);
    void publishAll();

    TestBedServer& server(const std::string& name) { return m_servers.at(name).model; }
    RelayEngine& relay(const std::string& name) { return *m_relays.at(name).engine; }
    std::string ownerOf(const std::string& server) const;
    /// The catalog of the servers added so far.
    std::shared_ptr<const ShardMap> shardMap() const;
    SeededRandom& random() { return m_random; }
    TimePoint now() const { return m_now; }

    void at(TimePoint time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }
    void runUntil(TimePoint);
    /// Sends one leg to a relay; returns its key.
    LegKey send(const std::string& relay, const std::string& server, std::uint64_t fingerprint, Priority = Priority::Desk, Duration budget = 200ms, std::uint64_t request = 0);
    /// Sends the legs of one order to a relay. Precondition: no leg's key was sent before.
    void sendWork(const std::string& relay, const WorkOrder&);
    void cancel(const std::string& relay, const LegKey&);
    void disconnectEntry(const std::string& relay);
    void crash(const std::string& server);
    void restart(const std::string& server);
    void dropConnection(const std::string& server);
    void reportHealth(const std::string& server, bool isDraining);
    void setPoison(std::uint64_t fingerprint) { m_poison.insert(Fingerprint(fingerprint)); }

    OnResult onResult;
    std::function<void(const ServerState&)> onServerState; ///< What relays announce.
    Duration announcementDelay = 50ms;
    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t unanswered() const;
    std::uint32_t connectionsAt(const std::string& server) const;
    std::uint32_t peakConnections() const { return m_peakConnections; }
    std::uint32_t peakLegsAtServer() const { return m_peakLegsAtServer; }
    std::map<std::string, std::uint32_t> crashedServers; ///< Crashes of each server.
    std::map<LegOutcome, std::uint32_t> outcomes;
    Duration busyTime {}; ///< Slot time spent by servers.
    Duration deadTime {}; ///< Of it, on legs that were answered past their deadline or cancelled.

private:
    struct ConnectionKey {
        std::string relay;
        ConnectionId id;
        auto operator<=>(const ConnectionKey&) const = default;
    };
    struct Leg {
        ConnectionKey connection;
        LegKey key;
        Fingerprint fingerprint;
        TimePoint deadline;
        TimePoint started;
        std::uint64_t serial = 0;
    };
    struct SimulatedServer {
        TestBedServer model;
        std::set<ConnectionKey> connections; ///< Open or being opened.
        std::set<ConnectionKey> open;
        std::set<ConnectionKey> busy; ///< Carry a leg whose answer the relay has not read yet.
        std::vector<Leg> running;
        std::vector<Leg> waiting;
        TimePoint coldUntil {};
        TimePoint firstDrainSignal = never; ///< When a relay first learned of the drain.
    };
    struct Relay {
        std::unique_ptr<RelayEngine> engine;
        std::shared_ptr<const Ownership> ownership;
        std::set<std::string> knownDraining;
    };
    struct Sent {
        std::string relay;
        bool isAnswered = false;
        bool isEntryDisconnected = false;
        bool hasRun = false;
    };

    void check(bool, const std::string& what);
    /// Runs a call of an engine and carries its actions out.
    void call(const std::string& relay, const std::function<void(RelayEngine&, RelayActions&)>&);
    void apply(const std::string& relay, const OpenConnection&);
    void apply(const std::string& relay, const CloseConnection&);
    void apply(const std::string& relay, const RunLeg&);
    void apply(const std::string& relay, const CancelAtServer&);
    void apply(const std::string& relay, const ReturnResult&);
    void apply(const std::string& relay, const AnnounceServer&);
    void apply(const std::string& relay, const AnnounceCrash&);
    void announceToOthers(const std::string& relay, const std::function<void(RelayEngine&, TimePoint, RelayActions&)>& announcement);
    void startNext(const std::string& server);
    void finish(const std::string& server, std::uint64_t serial);
    void respond(const std::string& server, const Leg&, LegOutcome, Duration retryAfter = {});
    void checkServer(const std::string& server);
    Duration drawServiceTime(const SimulatedServer&);

    SeededRandom m_random;
    TimePoint m_now { Duration(1) };
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, SimulatedServer> m_servers;
    std::map<std::string, Relay> m_relays;
    std::map<LegKey, Sent> m_sent;
    std::set<Fingerprint> m_poison;
    std::vector<std::string> m_violations;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastSerial = 0;
    std::uint32_t m_peakConnections = 0;
    std::uint32_t m_peakLegsAtServer = 0;
};

}
