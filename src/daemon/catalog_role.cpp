#include "daemon/catalog_role.h"

#include "observe/log.h"

namespace lycheefield {

namespace {

constexpr Duration initialBackoff = std::chrono::milliseconds(50);
constexpr Duration maxBackoff = std::chrono::seconds(5);

/// Merges the services of all entries into one map. Leaves out replicas that no entry describes as a server.
ShardMap combine(const std::map<std::string, CatalogEntry>& entries)
{
    std::vector<Service> services;
    std::vector<Server> servers;
    for (const auto& [key, entry] : entries) {
        services.push_back(entry.service);
        servers.insert(servers.end(), entry.servers.begin(), entry.servers.end());
    }
    const ShardMap all({}, servers);
    for (auto& service : services) {
        for (auto& shard : service.shards)
            std::erase_if(shard.replicas, [&](const ServerName& it) { return !all.findServer(it); });
    }
    return { std::move(services), std::move(servers) };
}

}

CatalogRole::CatalogRole(const boost::asio::any_io_executor& executor, std::shared_ptr<ObjectStore> store, TablePublisher& publisher)
    : m_executor(executor)
    , m_store(std::move(store))
    , m_publisher(publisher)
{
}

void CatalogRole::start()
{
    Backoff backoff(initialBackoff, maxBackoff, std::make_unique<SeededRandom>(systemSeed()));
    m_watcher = std::make_shared<StoreWatcher>(
        m_executor, m_store, "catalog/", [self = shared_from_this()](const WatchBatch& batch) { self->onBatch(batch); }, std::move(backoff));
    m_watcher->start();
}

void CatalogRole::stop()
{
    if (m_watcher)
        m_watcher->stop();
}

bool CatalogRole::isLoaded() const
{
    const std::lock_guard lock(m_mutex);
    return m_isLoaded;
}

void CatalogRole::onBatch(const WatchBatch& batch)
{
    if (batch.status != StoreStatus::Ok)
        return;
    const std::lock_guard lock(m_mutex);
    for (const auto& it : batch.changed) {
        auto entry = parseCatalogEntry(it.value);
        if (entry)
            m_entries[it.key] = std::move(entry.value());
        else
            logChange(LogLevel::Error, "catalog entry could not be parsed; the previous version of the entry stays in use", { { "key", it.key }, { "why", entry.error().message } });
    }
    m_isLoaded = true;
    if (!batch.changed.empty())
        m_publisher.publishShards(combine(m_entries));
}

}
