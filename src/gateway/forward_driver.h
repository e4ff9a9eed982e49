#pragma once

#include "base/clock.h"
#include "forward/forward_engine.h"
#include "forward/server_registry.h"
#include "gateway/caller_protocol.h"
#include "gateway/search_delegation.h"
#include "gateway/server_connections.h"
#include "http/http_server.h"
#include "observe/decision_log.h"
#include "observe/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <optional>
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
class ForwardDriver final : public HttpHandler, public ServerSendEvents, public SearchDelegationEvents {
public:
    ForwardDriver(ForwardDriverParts, ForwardSettings);

    void handle(HttpRequest, std::shared_ptr<HttpExchange>) override;
    void onResponse(ServerRequestId, const ServerResponse&) override;
    void onLost(ServerRequestId, ServerRequestFailure) override;
    void onDelegationAnswered(DelegationId, const ForwardAnswer&) override;
    void onDelegationFailed(DelegationId, bool mayHaveRun) override;
    bool onDelegationSilent(DelegationId) override;
    void onExtraAttemptsRequested(DelegationId, const std::vector<std::uint32_t>& positions) override;
    void onCrashNews(Fingerprint, const ServerName&) override;
    bool canRun(const SearchCall&) const override;
    void runFor(const InstanceName& caller, const SearchCall&) override;
    void grantFor(const InstanceName& caller, std::uint64_t sequence) override;
    void cancelFor(const InstanceName& caller, std::uint64_t sequence) override;
    void cancelAllFor(const InstanceName& caller) override;

    /// From now on other instances may be asked for parts of searches. Precondition: both outlive the driver's use.
    void setRelay(SearchDelegation& relay, DelegateChooser& chooser)
    {
        m_relay = &relay;
        m_engine.setRelays(chooser);
    }
    /// From now on nothing is run for other instances.
    void declineOthers() { m_declinesOthers = true; }

    /// From now on requests are matched with this table. Precondition: its version is not older than the last one's.
    void setRoutes(std::shared_ptr<const RouteTable>);
    std::shared_ptr<const RouteTable> routes() const { return m_routes; }
    void setServers(const std::map<ServerName, ServerEntry>&);
    void setInstances(std::uint32_t n) { m_engine.setInstances(n); }
    /// Answers everything that is under way with what there is.
    void finishAll();
    void closeStaleConnections() { m_connections.closeStale(); }
    std::size_t inFlight() const { return m_waiting.size(); }
    const ForwardCounters& counters() const { return m_engine.counters(); }
    std::size_t serverConnections() const { return m_connections.count(); }

private:
    /// Who waits for the answer to a request: a caller of this instance, or another instance.
    struct Waiting {
        std::shared_ptr<HttpExchange> exchange; ///< Null: another instance.
        TimePoint readAt {};
        InstanceName instance;
        std::uint64_t sequence = 0; ///< Of the other instance's call.
    };

    void startHere(ForwardRequest);
    const Route* searchOf(const SearchCall&) const;
    /// The part that runs for that call of another instance; empty when it is over.
    std::optional<RequestNumber> partOf(const InstanceName& caller, std::uint64_t sequence) const;
    void want(const RequestExtraAttempts&);
    void cancelHere(RequestNumber);
    void begin(HttpRequest&&, const std::shared_ptr<HttpExchange>&);
    void refuse(const std::shared_ptr<HttpExchange>&, const std::string& attemptId, const EarlyRefusal&);
    /// Asks the engine and carries out what it decided.
    template <typename Decide>
    void decide(Decide askEngine)
    {
        ForwardActions actions;
        askEngine(m_parts.clock.now(), actions);
        execute(actions);
    }
    void execute(const ForwardActions&);
    void deliver(const ForwardAnswer&);
    void setTimer();

    ForwardDriverParts m_parts;
    SearchDelegation* m_relay = nullptr;
    bool m_declinesOthers = false;
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
