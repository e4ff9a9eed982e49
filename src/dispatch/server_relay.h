#pragma once

#include "catalog/shard_map.h"
#include "dispatch/connection_pool.h"
#include "dispatch/leg_queue.h"
#include "dispatch/relay_engine.h"

#include <map>

namespace lycheefield {

/// What this instance is to a server.
enum class RelayRole : std::uint8_t {
    None, ///< Finishes what it has and closes its connections.
    Standby,
    Owner,
};

/// What all servers of one engine share.
struct RelayShared {
    RelaySettings settings;
    InstanceName self;
    RelayCounters counters;
    ConnectionCounters connections;
    bool isDraining = false;
    std::map<LegKey, ServerName> legs; ///< Every leg taken and not answered, and where it is.
};

/// The decisions of the relay role for one server. Not thread safe.
class ServerRelay {
public:
    ServerRelay(const Server&, RelayShared&);

    void setServer(const Server&, TimePoint, RelayActions&);
    void setRole(RelayRole, TimePoint, RelayActions&);
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
    TimePoint nextWake() const;

    ServerState state() const;
    std::size_t inFlight() const { return m_running.size() + m_queue.size(); }
    /// True when nothing is left to do and no connection is held.
    bool isIdle() const { return inFlight() == 0 && m_pool.size() == 0; }

private:
    void dispatch(TimePoint, RelayActions&);
    void send(RelayLeg, TimePoint, RelayActions&);
    std::uint32_t wantedConnections() const;
    void refuse(const RelayLeg&, LegOutcome, const std::string& detail, TimePoint, RelayActions&);
    void refuseAll(const std::vector<RelayLeg>&, const std::string& detail, TimePoint, RelayActions&);
    void finish(const RunningLeg&, LegResult, TimePoint, RelayActions&);
    LegResult resultFor(const RelayLeg&, LegOutcome) const;
    void setDraining(bool, TimePoint, RelayActions&);
    void setVersions(std::vector<IndexVersion>);

    Server m_server;
    RelayShared& m_shared;
    RelayRole m_role = RelayRole::None;
    ConnectionPool m_pool;
    LegQueue m_queue;
    std::map<ConnectionId, RunningLeg> m_running;
    std::vector<IndexVersion> m_versions;
    bool m_isDraining = false;
    Duration m_latency {};
};

}
