#pragma once

#include "daemon/shared_tables.h"
#include "platform/store_watcher.h"

#include <memory>
#include <mutex>

namespace lycheefield {

/// Follows the operators' rules in the platform's store and publishes them; never a lower revision.
/// Thread safe.
class RulesRole : public std::enable_shared_from_this<RulesRole> {
public:
    /// Precondition: the publisher outlives the role.
    RulesRole(const boost::asio::any_io_executor&, std::shared_ptr<ObjectStore>, SharedTables&, TablePublisher&);

    void start();
    void stop();

private:
    void onBatch(const WatchBatch&);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<ObjectStore> m_store;
    SharedTables& m_tables;
    TablePublisher& m_publisher;
    std::shared_ptr<StoreWatcher> m_watcher;
    std::mutex m_mutex;
};

}
