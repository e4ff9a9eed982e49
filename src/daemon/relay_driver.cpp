#include "daemon/relay_driver.h"

#include "base/fingerprint.h"

namespace lycheefield {

namespace {

std::uint64_t hashOf(const Block& block)
{
    return stableHash(block.service.value() + "/" + block.zone.value() + "/" + std::to_string(block.index));
}

}

RelayDriver::RelayDriver(const RelayContext& context, const RelaySettings& settings, const SharedTables& tables, std::size_t engines)
    : m_tables(tables)
{
    for (std::size_t i = 0; i < engines; ++i) {
        auto engine = makeRelayEngine(settings, context.self, std::make_unique<SeededRandom>(systemSeed()));
        m_workers.push_back(std::make_shared<RelayWorker>(context, std::move(engine)));
    }
}

void RelayDriver::onTables()
{
    const std::lock_guard lock(m_mutex);
    const auto map = m_tables.shards.read();
    const auto ownership = m_tables.ownership.read();
    Assignment assignment = *m_assignment.read();
    for (const auto& [server, block] : ownership->blocks())
        assignment.try_emplace(server, hashOf(block) % m_workers.size());
    m_assignment.publish(assignment);
    std::vector<std::vector<Server>> servers(m_workers.size());
    for (const auto& [name, server] : map->servers())
        servers[workerOf(assignment, name)].push_back(server);
    for (std::size_t i = 0; i < m_workers.size(); ++i)
        m_workers[i]->onTables(std::make_shared<const ShardMap>(std::vector<Service>(), std::move(servers[i])), ownership);
}

std::size_t RelayDriver::workerOf(const Assignment& assignment, const ServerName& server) const
{
    const auto it = assignment.find(server);
    return it == assignment.end() ? 0 : it->second;
}

void RelayDriver::onWork(const WorkOrder& work)
{
    const auto assignment = m_assignment.read();
    std::vector<std::vector<LegOrder>> legs(m_workers.size());
    for (const auto& it : work.legs)
        legs[workerOf(*assignment, it.server)].push_back(it);
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (legs[i].empty())
            continue;
        WorkOrder part = work;
        part.legs = std::move(legs[i]);
        m_workers[i]->onWork(std::move(part));
    }
}

void RelayDriver::onCancel(const LegKey& key)
{
    // A cancellation does not name the server; an engine without the leg ignores the key.
    for (const auto& it : m_workers)
        it->onCancel(key);
}

void RelayDriver::onEntryDisconnected(const InstanceName& entry)
{
    for (const auto& it : m_workers)
        it->onEntryDisconnected(entry);
}

void RelayDriver::onCrashAnnounced(const AnnounceCrash& news)
{
    for (const auto& it : m_workers)
        it->onCrashAnnounced(news);
}

void RelayDriver::onServerAnnounced(const ServerState& state)
{
    m_workers[workerOf(*m_assignment.read(), state.server)]->onServerAnnounced(state);
}

void RelayDriver::beginDrain()
{
    for (const auto& it : m_workers)
        it->beginDrain();
}

void RelayDriver::close()
{
    for (const auto& it : m_workers)
        it->close();
}

std::size_t RelayDriver::inFlight() const
{
    std::size_t n = 0;
    for (const auto& it : m_workers)
        n += it->inFlight();
    return n;
}

RelayCounters RelayDriver::counters() const
{
    RelayCounters sum;
    for (const auto& it : m_workers)
        sum += it->counters();
    return sum;
}

}
