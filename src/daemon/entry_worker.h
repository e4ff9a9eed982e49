#pragma once

#include "base/clock.h"
#include "daemon/engine_timer.h"
#include "daemon/peer_ports.h"
#include "daemon/request_log.h"
#include "daemon/shared_tables.h"
#include "daemon/strand.h"
#include "query/query_engine.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace lycheefield {

/// Receives the answer of a request. Called once at most, on the strand of the request's engine.
using AnswerHandler = std::function<void(const Answer&)>;

/// Dependencies that all workers of the entry share.
struct EntryContext {
    boost::asio::io_context& io;
    std::shared_ptr<const Clock> clock;
    const SharedTables& tables;
    RelayPort& relays;
    RequestLog& log;
};

/// Drives one QueryEngine on a strand of its own and executes its actions. Public methods are thread safe.
class EntryWorker : public std::enable_shared_from_this<EntryWorker> {
public:
    EntryWorker(const EntryContext&, std::unique_ptr<QueryEngine>);

    void start(CallerRequest, AnswerHandler);
    void onLegResult(LegResult);
    void onRelayDisconnected(const InstanceName&);
    void onServerState(const ServerState&);
    void onCrashAnnounced(const CrashNews&);
    /// Cancels a request and tells the handler, which may be empty, whether the request was in flight.
    void cancel(const RequestId&, bool callerDisconnected, std::function<void(bool)>);

    std::size_t inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }
    /// Returns the counters as of the last event.
    QueryCounters counters() const;

private:
    void execute(QueryActions&);
    void execute(SendWork&);
    void execute(CancelAttempt&);
    void execute(DeliverAnswer&);
    void execute(LogDecision&);
    void arm();

    EntryContext m_context;
    std::unique_ptr<QueryEngine> m_engine;
    Strand m_strand;
    EngineTimer m_timer;
    std::unordered_map<RequestId, AnswerHandler> m_handlers;
    std::atomic<std::size_t> m_inFlight { 0 };
    mutable std::mutex m_countersMutex;
    QueryCounters m_counters;
};

}
