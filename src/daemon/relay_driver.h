#pragma once

#include "daemon/relay_worker.h"
#include "daemon/shared_tables.h"
#include "dispatch/relay_settings.h"

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// The relay role: several relay engines, each on its own strand. A server is assigned to one engine for the life of
/// the process, by the server's block when the server first appears in the tables. Thread safe.
class RelayDriver {
public:
    RelayDriver(const RelayContext&, const RelaySettings&, const SharedTables&, std::size_t engines);

    /// Reads the tables again. To be called after each change of the tables.
    void onTables();
    void onWork(const WorkOrder&);
    void onCancel(const LegKey&);
    void onEntryDisconnected(const InstanceName&);
    void onCrashAnnounced(const AnnounceCrash&);
    /// Handles the announcement of a server by the relay of another instance.
    void onServerAnnounced(const ServerState&);
    void beginDrain();
    void close();

    std::size_t inFlight() const;
    /// Returns the sum over all engines.
    RelayCounters counters() const;
    const std::vector<std::shared_ptr<RelayWorker>>& workers() const { return m_workers; }

private:
    using Assignment = std::unordered_map<ServerName, std::size_t>;

    std::size_t workerOf(const Assignment&, const ServerName&) const;

    const SharedTables& m_tables;
    std::vector<std::shared_ptr<RelayWorker>> m_workers;
    std::mutex m_mutex; ///< Held while the assignment changes.
    Snapshot<Assignment> m_assignment;
};

}
