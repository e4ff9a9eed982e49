#pragma once

#include "base/clock.h"
#include "forward/forward_engine.h"
#include "forward/server_registry.h"
#include "gateway/caller_protocol.h"
#include "gateway/server_connections.h"
#include "http/http_server.h"
#include "observe/decision_log.h"
#include "observe/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace lycheefield {

/// What a ForwardDriver needs from outside. All of it outlives the driver.
struct ForwardDriverParts {
    boost::asio::strand<boost::asio::io_context::executor_type>& strand;
    const Clock& clock;
    const CallerProtocol& callers;
    const ServerProtocol& servers;
    Metrics& metrics;
    DecisionLog& log;
};

/// Runs a ForwardEngine: takes callers' requests, carries the engine's actions out and tells it what
/// came of them. handle() is thread safe; all else is called on the strand.
class ForwardDriver final : public HttpHandler, public ServerSendEvents {
public:
    ForwardDriver(ForwardDriverParts, ForwardSettings);

    void handle(HttpRequest, std::shared_ptr<HttpExchange>) override;
    void onReply(SendId, const ServerReply&) override;
    void onLost(SendId, SendLoss) override;

    /// From now on requests are matched with this table. Precondition: its version is not older than the last one's.
    void setRoutes(std::shared_ptr<const RouteTable>);
    std::shared_ptr<const RouteTable> routes() const { return m_routes; }
    void setServers(const std::map<ServerName, ServerEntry>&);
    void setInstances(std::uint32_t n) { m_engine.setInstances(n); }
    /// Answers everything that is under way with what there is.
    void finishAll();
    void closeStaleConnections() { m_connections.closeStale(); }
    std::size_t inFlight() const { return m_engine.inFlight(); }
    const ForwardCounters& counters() const { return m_engine.counters(); }
    std::size_t serverConnections() const { return m_connections.count(); }

private:
    struct Waiting {
        std::shared_ptr<HttpExchange> exchange;
        TimePoint readAt {};
    };

    void begin(HttpRequest&&, std::shared_ptr<HttpExchange>);
    void refuse(const std::shared_ptr<HttpExchange>&, const std::string& attemptId, const EarlyRefusal&);
    void carryOut(const ForwardActions&);
    void deliver(const ForwardAnswer&);
    void setTimer();

    ForwardDriverParts m_parts;
    boost::asio::steady_timer m_timer;
    TimePoint m_timerAt = never;
    ForwardEngine m_engine;
    ServerConnections m_connections;
    std::shared_ptr<const RouteTable> m_routes;
    std::unordered_map<RequestNumber, Waiting> m_waiting;
    std::uint64_t m_lastRequest = 0;
    Counter& m_noRoute;
    BucketHistogram& m_answerTimes;
};

}
