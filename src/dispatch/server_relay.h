#pragma once

#include "catalog/shard_map.h"
#include "dispatch/concurrency_limit.h"
#include "dispatch/drain_signals.h"
#include "dispatch/ejection.h"
#include "dispatch/leg_queue.h"
#include "dispatch/relay_shared_state.h"
#include "dispatch/service_time.h"

#include <map>
#include <optional>

namespace lycheefield {

/// The role of this instance for one server.
enum class RelayRole : std::uint8_t {
    None, ///< Finishes the legs already taken and closes its connections.
    Standby,
    Owner,
};

/// The decisions of the relay role for one server. Not thread safe.
class ServerRelay {
public:
    ServerRelay(const Server&, RelayRole, RelaySharedState&);
    ~ServerRelay();
    ServerRelay(const ServerRelay&) = delete;
    ServerRelay& operator=(const ServerRelay&) = delete;

    /// Applies the catalog's description of the server and this instance's role from new tables.
    void onTables(const Server&, RelayRole, TimePoint, RelayActions&);
    /// Records that the catalog no longer lists the server.
    void onRemoved(TimePoint, RelayActions&);
    RelayRole role() const { return m_role; }

    /// Takes a leg: refuses it, or queues it and sends it as soon as the server may run it.
    void onLeg(RelayLeg, TimePoint, RelayActions&);
    void onCancel(const LegKey&, TimePoint, RelayActions&);
    void onEntryDisconnected(const InstanceName&, TimePoint, RelayActions&);
    void onConnected(ConnectionId, TimePoint, RelayActions&);
    void onConnectionLost(ConnectionId, bool bytesWritten, TimePoint, RelayActions&);
    void onConnectionNotOpened(ConnectionId, TimePoint, RelayActions&);
    void onLegResponse(ConnectionId, const LegResponse&, TimePoint, RelayActions&);
    void onHealth(const HealthReport&, TimePoint, RelayActions&);
    void onTimer(TimePoint, RelayActions&);
    /// Records that another relay saw the server drain at that time, or, with `never`, that the server
    /// accepts work again.
    void onDrainAnnounced(TimePoint markedAt, TimePoint, RelayActions&);
    /// When the server began to drain, unless the catalog lists the server as leaving; `never` otherwise.
    TimePoint drainMarkedAt() const;
    TimePoint nextWake() const;

    ServerState state() const;
    std::size_t inFlight() const { return m_running.size() + m_queue.size() + (m_probe ? 1 : 0); }
    /// True when no leg is left and no connection is held.
    bool isIdle() const { return inFlight() == 0 && m_pool.size() == 0; }

private:
    /// A presumed crash, which may turn out to be only a lost connection.
    struct Crash {
        CrashId id;
        TimePoint at = never;
        ConnectionId newestConnection; ///< A response on a connection opened later does not show that the server survived.
    };

    // Taking legs.
    /// Returns the result that refuses the leg; empty when the leg is admitted. May displace a queued
    /// leg, and marks the leg as a probe where its content requires one.
    std::optional<LegResult> checkAdmission(RelayLeg&, TimePoint, RelayActions&);
    bool canFinishInTime(const RelayLeg&, TimePoint) const;
    Duration expectedWait(const RelayLeg&, TimePoint) const;
    /// Refuses the last queued leg in favour of this one. Returns false when that leg's priority is not lower.
    bool displaceLowerPriority(const RelayLeg&, TimePoint, RelayActions&);

    // Sending legs.
    void dispatch(TimePoint, RelayActions&);
    void dispatchProbe(TimePoint, RelayActions&);
    void dropExpired(TimePoint, RelayActions&);
    void cancelExpired(TimePoint, RelayActions&);
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

    // Recording evidence about the server.
    void recordOutcome(const RunningLeg&, const LegResponse&, TimePoint, RelayActions&);
    void recordSuccess(Duration, TimePoint);
    void recordFailure(Fingerprint, TimePoint, RelayActions&);
    void recordCrash(const RunningLeg&, TimePoint, RelayActions&);
    /// Retracts the crash when the server responded to a leg sent after the crash on a connection opened
    /// before it, which shows that the server kept running.
    void checkSurvivedCrash(ConnectionId, const RunningLeg&, RelayActions&);
    void eject(TimePoint, RelayActions&);
    /// Applies a change of the drain signals, and announces it unless the change was itself announced.
    void updateDraining(TimePoint, RelayActions&, bool isAnnounced = false);
    void setVersions(std::vector<IndexVersion>);
    ServerGroup& serverGroup() { return m_shared.groups[m_server.service]; }

    Server m_server;
    RelaySharedState& m_shared;
    RelayRole m_role = RelayRole::None;
    ConnectionPool m_pool;
    LegQueue m_queue;
    std::optional<RelayLeg> m_probe; ///< Waits until no other leg is at the server.
    std::map<ConnectionId, RunningLeg> m_running;
    std::vector<IndexVersion> m_versions;
    ServiceTime m_serviceTime;
    ConcurrencyLimit m_limit;
    Ejection m_ejection;
    DrainSignals m_drainSignals;
    bool m_isDraining = false;
    TimePoint m_drainingSince = never;
    Crash m_crash;
    TimePoint m_nextLimitChange = never;
    TimePoint m_lastLegAt {}; ///< When a leg was last taken.
};

}
