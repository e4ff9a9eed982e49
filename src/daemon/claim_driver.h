#pragma once

#include "base/clock.h"
#include "claims/claim_engine.h"
#include "daemon/engine_timer.h"
#include "daemon/strand.h"
#include "platform/object_store.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace lycheefield {

/// Drives a ClaimEngine on a strand of its own: executes its calls to the store and passes its
/// decisions to the handlers. Public methods are thread safe.
class ClaimDriver : public std::enable_shared_from_this<ClaimDriver> {
public:
    /// Called exactly once, on the driver's strand.
    using Handler = std::function<void(const ClaimDecided&)>;

    /// Precondition: the io_context outlives the driver.
    ClaimDriver(boost::asio::io_context&, std::shared_ptr<const Clock>, std::shared_ptr<ObjectStore>, std::unique_ptr<ClaimEngine>);

    void claim(const ClaimRequest&, Handler);
    /// Records the outcome of a granted request, whichever instance's engine granted the claim. NotRun releases the key.
    void settle(const ClaimRequest&, RunState, std::string answer);

    /// Returns the number of undecided claims, and of outcomes and releases that are not written yet.
    std::size_t pending() const { return m_pending.load(std::memory_order_relaxed); }
    /// Returns a recent copy of the counters, refreshed at most every 200 ms.
    ClaimCounters counters() const;

private:
    void execute(ClaimActions&);
    void execute(const ReadObject&);
    void execute(const WriteObject&);
    void execute(const ClaimDecided&);
    ObjectStore::ObjectHandler responseHandler(StoreCallId);
    void publishCounters();

    Strand m_strand;
    std::shared_ptr<const Clock> m_clock;
    std::shared_ptr<ObjectStore> m_store;
    std::unique_ptr<ClaimEngine> m_engine;
    EngineTimer m_timer;
    std::unordered_map<RequestId, Handler> m_handlers;
    std::atomic<std::size_t> m_pending { 0 };
    mutable std::mutex m_countersMutex;
    ClaimCounters m_counters;
    TimePoint m_countersAt {};
};

}
