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
    std::uint32_t queueLimit = 4; ///< Legs that wait at the server beyond its slots; further legs are shed.
    Duration serviceTime = 10ms; ///< Mean; half of it is fixed, the rest is exponentially distributed.
    double slowFactor = 1;
    Duration restartTime = 1s;
    double coldFactor = 1; ///< Multiplies the service time for coldTime after a restart.
    Duration coldTime {};
    bool isColdByLoad = false; ///< Multiplies the cold factor by the number of running legs.
    bool isUp = true;
    bool isDraining = false;
    bool isFailing = false;
    bool isHung = false;
};

/// Engines and simulated servers under a virtual clock. Every step checks the invariants of the relay
/// role; violations() lists those that were broken.
class RelayTestBed {
public:
    using OnResult = std::function<void(const LegResult&)>;

    explicit RelayTestBed(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void addServer(const TestBedServer&);
    void addRelay(const std::string& name, const RelaySettings& = {});
    /// Gives one relay the tables that follow from a view of these instances.
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
    void setCrashingContent(std::uint64_t fingerprint) { m_poison.insert(Fingerprint(fingerprint)); }

    OnResult onResult;
    std::function<void(const ServerState&)> onServerState; ///< Called for each server state that a relay announces.
    Duration announcementDelay = 50ms;
    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t unanswered() const;
    std::uint32_t connectionsAt(const std::string& server) const;
    std::uint32_t peakConnections() const { return m_peakConnections; }
    std::uint32_t peakLegsAtServer() const { return m_peakLegsAtServer; }
    std::map<std::string, std::uint32_t> crashedServers; ///< Crashes of each server.
    std::map<LegOutcome, std::uint32_t> outcomes;
    Duration busyTime {}; ///< Total time for which legs held server slots.
    Duration wastedTime {}; ///< The part of busyTime spent on legs that were finished past their deadline or cancelled.

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
        std::set<ConnectionKey> connections; ///< Connections open or being opened.
        std::set<ConnectionKey> open;
        std::set<ConnectionKey> busy; ///< Connections with a leg whose response the relay has not read yet.
        std::vector<Leg> running;
        std::vector<Leg> waiting;
        TimePoint coldUntil {};
        TimePoint firstDrainSignal = never; ///< When a relay first sent a leg to the draining server.
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
    /// Makes a call to a relay's engine and executes the actions that follow.
    void call(const std::string& relay, const std::function<void(RelayEngine&, RelayActions&)>&);
    void apply(const std::string& relay, const OpenConnection&);
    void apply(const std::string& relay, const CloseConnection&);
    void apply(const std::string& relay, const SendLeg&);
    void apply(const std::string& relay, const CancelAtServer&);
    void apply(const std::string& relay, const ReturnResult&);
    void apply(const std::string& relay, const AnnounceServerState&);
    void apply(const std::string& relay, const AnnounceCrash&);
    /// Delivers an announcement to all other relays after announcementDelay.
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
