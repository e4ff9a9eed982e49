#pragma once

#include "daemon/entry_worker.h"
#include "query/query_settings.h"

#include <atomic>
#include <memory>
#include <vector>

namespace lycheefield {

/// The entry role: several query engines, each on its own strand. The counter in a request's id selects the
/// engine, so that results reach the engine without a lookup table. Thread safe.
class EntryDriver {
public:
    EntryDriver(const EntryContext&, const QuerySettings&, const InstanceName& self, const ZoneName&, ProcessLife, std::size_t engines);

    /// Returns a new, unique request id.
    RequestId nextId() { return { m_life, m_counter.fetch_add(1, std::memory_order_relaxed) + 1 }; }
    bool isOurs(const RequestId& id) const { return id.life == m_life; }

    /// Starts a request. Precondition: the id came from nextId() and was not used before.
    void start(CallerRequest, AnswerHandler);
    /// Passes a result to its engine. Drops and counts results whose request belongs to another process life.
    void onLegResult(LegResult);
    void onRelayDisconnected(const InstanceName&);
    void onServerState(const ServerState&);
    void onCrashAnnounced(const CrashNews&);
    void cancel(const RequestId&, bool callerDisconnected, std::function<void(bool)> done);

    std::size_t inFlight() const;
    /// Returns the sum over all engines.
    QueryCounters counters() const;
    std::uint64_t foreignResults() const { return m_foreignResults.load(std::memory_order_relaxed); }
    const std::vector<std::shared_ptr<EntryWorker>>& workers() const { return m_workers; }

private:
    EntryWorker& workerOf(const RequestId& id) { return *m_workers[id.counter % m_workers.size()]; }

    ProcessLife m_life;
    std::atomic<std::uint64_t> m_counter { 0 };
    std::atomic<std::uint64_t> m_foreignResults { 0 };
    std::vector<std::shared_ptr<EntryWorker>> m_workers;
};

}
