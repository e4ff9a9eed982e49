#pragma once

#include "base/clock.h"
#include "catalog/catalog_json.h"
#include "standin/backend_listener.h"
#include "standin/run_history.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace lycheefield::standin {

/// Configuration of one stand-in fleet: the servers of one service.
struct FleetPlan {
    std::string service = "quotedesk";
    std::uint32_t shards = 20;
    std::uint32_t replicas = 2;
    std::uint32_t batchesPerShard = 4;
    std::vector<std::string> zones { "ikeja-a", "lekki-b", "ibadan-c" };
    std::string address = "127.0.0.1";
    std::uint64_t seed = 1;
    std::uint64_t firstVersion = 1;
    Duration versionPeriod {}; ///< Interval between index versions; zero: no new versions.
    Duration versionRolloutTime { 500000 }; ///< Servers adopt a new version one by one over this time.
    Duration oldVersionRetention { 2000000 }; ///< Servers keep the old version for this time after the last server has adopted the new one.
    BackendBehaviour behaviour;
    BackendListener::Limits limits;
    std::string historyPath; ///< File for the run history; empty: no history is written.
};

/// Servers of one service, their index versions and their catalog entry on the platform.
/// Everything runs on the thread that runs the io_context.
class BackendFleet {
public:
    BackendFleet(boost::asio::io_context&, FleetPlan, Endpoint platform, const Clock&);

    /// Starts all servers and writes the catalog entry. Throws std::runtime_error when the platform
    /// does not store the entry.
    void start();
    /// Executes a call below /standin/: `counters`, `orders`, `set?server=NAME|all&KEY=VALUE…`, `repartition`, `publish`.
    std::string control(const std::string& target);
    /// Port for the control calls, with no practical connection cap. Precondition: start() succeeded.
    std::uint16_t controlPort() const { return m_control->port(); }

private:
    void startControl();
    void buildCatalog();
    bool writeCatalog();
    void setIndexOf(std::size_t server);
    void publishNext();
    void repartition();
    std::string counters() const;
    std::string orders() const;
    void applySettings(const std::string& query);
    void runAfter(Duration, std::function<void()>);

    boost::asio::io_context& m_io;
    FleetPlan m_plan;
    Endpoint m_platform;
    const Clock& m_clock;
    CatalogEntry m_catalog;
    std::unique_ptr<RunHistory> m_history;
    std::shared_ptr<BackendListener> m_control;
    std::vector<std::shared_ptr<BackendListener>> m_listeners;
    std::vector<std::shared_ptr<BackendServer>> m_servers;
    std::vector<std::set<IndexVersion>> m_versions;
    std::set<PartitionEpoch> m_epochs;
    IndexVersion m_newest;
};

}
