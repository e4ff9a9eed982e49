#pragma once

#include "catalog/catalog_json.h"
#include "daemon/shared_tables.h"
#include "platform/store_watcher.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lycheefield {

/// Watches the catalog in the platform's store and publishes the shard map. Thread safe.
class CatalogRole : public std::enable_shared_from_this<CatalogRole> {
public:
    /// Precondition: the publisher outlives the role.
    CatalogRole(const boost::asio::any_io_executor&, std::shared_ptr<ObjectStore>, TablePublisher&);

    void start();
    void stop();
    /// Returns true once the whole catalog has been read.
    bool isLoaded() const;

private:
    void onBatch(const WatchBatch&);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<ObjectStore> m_store;
    TablePublisher& m_publisher;
    std::shared_ptr<StoreWatcher> m_watcher;
    mutable std::mutex m_mutex;
    std::map<std::string, CatalogEntry> m_entries;
    bool m_isLoaded = false;
};

}
