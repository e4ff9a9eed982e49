#pragma once

#include "catalog/shard_map.h"
#include "dispatch/concurrency_limit.h"
#include "dispatch/drain_signs.h"
#include "dispatch/ejection.h"
#include "dispatch/leg_queue.h"
#include "dispatch/relay_shared.h"
#include "dispatch/service_time.h"

#include <map>
#include <optional>

namespace lycheefield {

/// What this instance is to a server.
enum class RelayRole : std::uint8_t {
    None, ///< Finishes what it has and closes its connections.
    Standby,
    Owner,
};

/// The decisions of the relay role for one server. Not thread safe.
class ServerRelay {
public:
    ServerRelay(const Server&, RelayRole, RelayShared&);
    ~ServerRelay();
    ServerRelay(const ServerRelay&) = delete;
    ServerRelay& operator=(const ServerRelay&) = delete;

    /// The catalog's description and this instance's role, as the tables say now.
    void onTables(const Server&, RelayRole, TimePoint, RelayActions&);
    /// The catalog no longer knows the server.
    void onGone(TimePoint, RelayActions&);
    RelayRole role() const { return m_role; }

    /// Takes the leg: queues it, runs it or answers it.
    void onLeg(RelayLeg, TimePoint, RelayActions&);
    void onCancel(const LegKey&, TimePoint, RelayActions&);
    void onEntryLost(const InstanceName&, TimePoint, RelayActions&);
    void onConnected(ConnectionId, TimePoint, RelayActions&);
    void onConnectionLost(ConnectionId, bool bytesHanded, TimePoint, RelayActions&);
    void onServerAnswer(ConnectionId, const ServerAnswer&, TimePoint, RelayActions&);
    void onHealth(const HealthReport&, TimePoint, RelayActions&);
    void onTimer(TimePoint, RelayActions&);
    /// Another relay saw at that time that the server drains, or, with `never`, that it does not.
    void onDrainNews(TimePoint markedAt, TimePoint, RelayActions&);
    /// Since when the server drains for a reason that the catalog does not give; `never` when it does not.
    TimePoint drainMarkedAt() const;
    TimePoint nextWake() const;

    ServerState state() const;
    std::size_t inFlight() const { return m_running.size() + m_queue.size() + (m_probe ? 1 : 0); }
    /// True when nothing is left to do and no connection is held.
    bool isIdle() const { return inFlight() == 0 && m_pool.size() == 0; }

private:
    /// One crash, or what may turn out to be a lost connection only.
    struct Crash {
        CrashId id;
        TimePoint at = never;
        ConnectionId newestConnection; ///< Those opened later tell nothing about it.
    };

    // Taking legs.
    std::optional<LegResult> turnAway(RelayLeg&, TimePoint, RelayActions&);
    bool canFinishInTime(const RelayLeg&, TimePoint) const;
    Duration expectedWait(const RelayLeg&, TimePoint) const;
    bool makeRoom(const RelayLeg&, TimePoint, RelayActions&);

    // Sending legs.
    void dispatch(TimePoint, RelayActions&);
    void dispatchProbe(TimePoint, RelayActions&);
    void dropDue(TimePoint, RelayActions&);
    void cancelOverdue(TimePoint, RelayActions&);
    void send(RelayLeg, TimePoint, RelayActions&);
    std::uint32_t concurrency(TimePoint) const;
    std::uint32_t wantedConnections(TimePoint) const;
    Duration minTimeLeft() const;

    // Ending legs.
    LegResult resultFor(const RelayLeg&, LegOutcome, std::string detail) const;
    void refuse(const RelayLeg&, LegOutcome, std::string detail, TimePoint, RelayActions&);
    void refuseWaiting(LegOutcome, const std::string& detail, TimePoint, RelayActions&);
    void finish(const RunningLeg&, LegResult, TimePoint, RelayActions&);
    void cancelAtServer(ConnectionId, RunningLeg&, RelayActions&);

    // Learning about the server.
    void noteOutcome(const RunningLeg&, const ServerAnswer&, TimePoint, RelayActions&);
    void noteSuccess(Duration, TimePoint);
    void recordFailure(Fingerprint, TimePoint, RelayActions&);
    void recordCrash(const RunningLeg&, TimePoint, RelayActions&);
    void noteAlive(ConnectionId, const RunningLeg&, RelayActions&);
    void eject(TimePoint, RelayActions&);
    /// Announces a change, unless it comes from news that all have.
    void afterDrainSign(TimePoint, RelayActions&, bool isNews = false);
    void setVersions(std::vector<IndexVersion>);
    PeerGroup& peers() { return m_shared.groups[m_server.service]; }

    Server m_server;
    RelayShared& m_shared;
    RelayRole m_role = RelayRole::None;
    ConnectionPool m_pool;
    LegQueue m_queue;
    std::optional<RelayLeg> m_probe; ///< Waits for the server to be free of other legs.
    std::map<ConnectionId, RunningLeg> m_running;
    std::vector<IndexVersion> m_versions;
    ServiceTime m_serviceTime;
    ConcurrencyLimit m_limit;
    Ejection m_ejection;
    DrainSigns m_drainSigns;
    bool m_isDraining = false;
    TimePoint m_drainingSince = never;
    Crash m_crash;
    TimePoint m_nextLimitChange = never;
    TimePoint m_lastLeg {}; ///< When a leg was last taken.
};

}
