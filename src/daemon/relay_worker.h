#pragma once

#include "daemon/engine_timer.h"
#include "daemon/peer_ports.h"
#include "daemon/strand.h"
#include "dispatch/relay_engine.h"
#include "http/backend_connection.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace lycheefield {

/// Dependencies that all workers of the relay share.
struct RelayContext {
    boost::asio::io_context& io;
    std::shared_ptr<const Clock> clock;
    InstanceName self;
    EntryPort& entries;
    BackendConnector& backends;
    Duration healthPeriod = std::chrono::seconds(1);
};

/// Drives one RelayEngine on a strand of its own, and owns the connections to its servers. Public
/// methods are thread safe.
class RelayWorker : public BackendEvents, public std::enable_shared_from_this<RelayWorker> {
public:
    RelayWorker(const RelayContext&, std::unique_ptr<RelayEngine>);

    /// Precondition: the map holds only the servers of this worker.
    void onTables(std::shared_ptr<const ShardMap>, std::shared_ptr<const Ownership>);
    void onWork(WorkOrder);
    void onCancel(const LegKey&);
    void onEntryDisconnected(const InstanceName&);
    void onCrashAnnounced(const AnnounceCrash&);
    void onServerAnnounced(const ServerState&);
    void beginDrain();
    /// Closes all connections. To be called once nothing is in flight.
    void close();

    std::size_t inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }
    /// Returns the counters as of the last event.
    RelayCounters counters() const;
    /// Calls the function on the strand with the states of the servers.
    void readStates(std::function<void(const std::vector<ServerState>&)>);

    void onBackendConnected(const ServerName&, ConnectionId) override;
    void onBackendResponse(const ServerName&, ConnectionId, const LegResponse&) override;
    void onBackendDisconnected(const ServerName&, ConnectionId, bool bytesWritten) override;
    void onBackendNotOpened(const ServerName&, ConnectionId) override;
    void onBackendHealth(const ServerName&, const HealthReport&) override;

private:
    using EngineCall = std::function<void(RelayEngine&, TimePoint, RelayActions&)>;

    /// Calls the engine on the strand and executes its actions.
    void run(EngineCall);
    /// Calls the engine and executes its actions. Precondition: the caller is on the strand.
    void runOnStrand(const EngineCall&);
    void execute(OpenConnection&);
    void execute(CloseConnection&);
    void execute(SendLeg&);
    void execute(CancelAtServer&);
    void execute(ReturnResult&);
    void execute(AnnounceServerState&);
    void execute(AnnounceCrash&);
    void arm();
    void updateControls(const Ownership&);
    void pollHealth();

    RelayContext m_context;
    std::unique_ptr<RelayEngine> m_engine;
    Strand m_strand;
    EngineTimer m_timer;
    boost::asio::steady_timer m_healthTimer;
    std::shared_ptr<const ShardMap> m_map;
    std::map<ConnectionId, std::shared_ptr<BackendConnection>> m_connections;
    std::map<ServerName, std::shared_ptr<BackendControl>> m_controls;
    std::atomic<std::size_t> m_inFlight { 0 };
    mutable std::mutex m_countersMutex;
    RelayCounters m_counters;
    bool m_isPolling = false;
    bool m_closed = false;
};

}
