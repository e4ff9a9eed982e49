#include "daemon/entry_driver.h"

#include "query/rule_budgets.h"

namespace lycheefield {

namespace {

/// The current tables, for queries that restart. Precondition: the shared tables outlive this object.
class NewestTables final : public TableSource {
public:
    explicit NewestTables(const SharedTables& tables)
        : m_tables(tables)
    {
    }
    QueryTables newest() const override { return m_tables.read(); }

private:
    const SharedTables& m_tables;
};

}

EntryDriver::EntryDriver(
    const EntryContext& context, const QuerySettings& settings, const InstanceName& self, const ZoneName& zone, ProcessLife life, std::size_t engines)
    : m_life(life)
{
    const auto budgets = std::make_shared<RuleBudgets>();
    for (std::size_t i = 0; i < engines; ++i) {
        auto engine = makeQueryEngine(settings, self, zone, std::make_unique<SeededRandom>(systemSeed()), std::make_shared<NewestTables>(context.tables), budgets);
        m_workers.push_back(std::make_shared<EntryWorker>(context, std::move(engine)));
    }
}

void EntryDriver::start(CallerRequest request, AnswerHandler handler)
{
    auto& worker = workerOf(request.id);
    worker.start(std::move(request), std::move(handler));
}

void EntryDriver::onLegResult(LegResult result)
{
    if (!isOurs(result.key.request)) {
        ++m_foreignResults;
        return;
    }
    auto& worker = workerOf(result.key.request);
    worker.onLegResult(std::move(result));
}

void EntryDriver::onRelayDisconnected(const InstanceName& relay)
{
    for (const auto& it : m_workers)
        it->onRelayDisconnected(relay);
}

void EntryDriver::onServerState(const ServerState& state)
{
    for (const auto& it : m_workers)
        it->onServerState(state);
}

void EntryDriver::onCrashAnnounced(const CrashNews& news)
{
    for (const auto& it : m_workers)
        it->onCrashAnnounced(news);
}

void EntryDriver::cancel(const RequestId& id, bool callerDisconnected, std::function<void(bool)> done)
{
    workerOf(id).cancel(id, callerDisconnected, std::move(done));
}

std::size_t EntryDriver::inFlight() const
{
    std::size_t n = 0;
    for (const auto& it : m_workers)
        n += it->inFlight();
    return n;
}

QueryCounters EntryDriver::counters() const
{
    QueryCounters sum;
    for (const auto& it : m_workers)
        sum += it->counters();
    return sum;
}

}
