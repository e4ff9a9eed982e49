#pragma once

#include "admission/configuration_freshness.h"
#include "admission/credential_check.h"
#include "base/buffer_limit.h"
#include "base/clock.h"
#include "forward/forward_engine.h"
#include "forward/server_registry.h"
#include "gateway/caller_protocol.h"
#include "gateway/followed_states.h"
#include "gateway/quota_driver.h"
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
#include <set>
#include <unordered_map>

namespace lycheefield {

/// The dependencies of a ForwardDriver. All of them outlive the driver.
struct ForwardDriverParts {
    boost::asio::strand<boost::asio::io_context::executor_type>& strand;
    const Clock& clock;
    const CallerProtocol& callers;
    const ServerProtocol& servers;
    Metrics& metrics;
    DecisionLog& log;
    const ConfigurationFreshness& freshness;
    const FollowedStates& states;
    std::size_t maxServerConnections;
};

/// Runs a ForwardEngine: passes callers' requests to the engine, executes the actions that the engine
/// returns, and reports their outcome to the engine. handle() is thread safe; every other function is
/// called on the strand.
class ForwardDriver final : public HttpHandler, public ServerRequestEvents, public SearchDelegationEvents, public QuotaDecisionEvents {
public:
    ForwardDriver(ForwardDriverParts, ForwardSettings);

    void handle(HttpRequest, std::shared_ptr<HttpExchange>) override;
    void onResponse(ServerRequestId, const ServerResponse&) override;
    void onFailed(ServerRequestId, ServerRequestFailure) override;
    void onChecked(const ServerName&, ServerCheck) override;
    void onDelegationAnswered(DelegationId, const ForwardAnswer&) override;
    void onDelegationFailed(DelegationId, bool mayHaveRun) override;
    bool onDelegationSilent(DelegationId) override;
    void onExtraAttemptsRequested(DelegationId, const std::vector<std::uint32_t>& positions) override;
    void onCrashAnnounced(const CrashNews&) override;
    bool canRun(const SearchCall&) const override;
    void runDelegated(const InstanceName& delegator, const SearchCall&) override;
    void onExtraAttemptsGranted(const InstanceName& delegator, std::uint64_t sequence) override;
    void cancelDelegated(const InstanceName& delegator, std::uint64_t sequence) override;
    void cancelAllDelegated(const InstanceName& delegator) override;
    void onWithinQuota(RequestNumber) override;
    void onQuotaRefused(RequestNumber, QuotaRefusal, Duration retryAfter) override;

    /// Lets the driver delegate legs of searches from now on. Precondition: both outlive the driver's use.
    void setDelegation(SearchDelegation& delegation, DelegateChooser& chooser)
    {
        m_delegation = &delegation;
        m_engine.setDelegateChooser(chooser);
    }
    /// Lets the driver hold callers to the quotas of their teams from now on. Precondition: the quotas outlive the driver's use.
    void setQuotas(QuotaDriver& quotas) { m_quotas = &quotas; }
    /// Declines all delegations of other instances from now on.
    void declineDelegations() { m_declinesDelegations = true; }

    /// Matches later requests with this table. Precondition: its version is not older than the last one's.
    void setRoutes(std::shared_ptr<const RouteTable>);
    std::shared_ptr<const RouteTable> routes() const { return m_routes; }
    /// Sets the servers. Attempts for one that drains or is gone and that still wait for a connection go elsewhere.
    void setServers(const std::map<ServerName, ServerEntry>&);
    /// Sets the zones whose servers get no new work. Attempts for them that are not on a connection yet go elsewhere.
    void setDrainedZones(const std::set<ZoneName>&);
    void setInstances(const std::vector<Instance>& instances) { m_engine.setInstances(instances, m_parts.clock.now()); }
    /// Returns announcements of the quarantined and the latest suspect contents.
    std::vector<CrashNews> crashAnnouncements() const { return m_engine.crashAnnouncements(m_parts.clock.now()); }
    /// Sets when finishAll() will be called.
    void setEnd(TimePoint end) { m_engine.setEnd(end); }
    /// Answers every request in flight with the results that have arrived.
    void finishAll();
    void closeStaleConnections() { m_connections.closeStale(); }
    std::size_t inFlight() const { return m_pending.size(); }
    const ForwardCounters& counters() const { return m_engine.counters(); }
    /// Returns the highest share of one service's last requests that left the zone.
    double highestLeftShare() const { return m_engine.highestLeftShare(); }
    std::size_t serverConnections() const { return m_connections.count(); }
    /// Returns how many requests wait because the connections to servers have reached their limit.
    std::size_t waitingForConnections() const { return m_connections.waiting(); }

private:
    /// A request in flight and the recipient of its answer: a caller of this instance, or another instance
    /// that delegated legs to this one.
    struct PendingRequest {
        std::shared_ptr<HttpExchange> exchange; ///< Null for a delegation of another instance.
        TimePoint readAt {};
        InstanceName instance;
        std::uint64_t sequence = 0; ///< Of the delegation.
    };

    /// Starts a caller's request that its key allows.
    void admit(ForwardRequest, const std::shared_ptr<HttpExchange>&);
    void startRequest(ForwardRequest);
    /// Starts the request once it is within its team's quota.
    void startWithinQuota(ForwardRequest);
    /// Refuses a request that waits for its team's quota. Precondition: it waits.
    void refuseHeld(RequestNumber, const EarlyRefusal&);
    void refuseAllHeld();
    /// The request that runs for this delegation; empty when the request has ended.
    std::optional<RequestNumber> findDelegated(const InstanceName& delegator, std::uint64_t sequence) const;
    void requestExtraAttempts(const RequestExtraAttempts&);
    void reportCrash(const ReportContentCrash&);
    void cancelRequest(RequestNumber);
    void onRequest(HttpRequest&&, const std::shared_ptr<HttpExchange>&);
    void refuse(const std::shared_ptr<HttpExchange>&, const std::string& attemptId, const EarlyRefusal&);
    /// Refuses a request that no route of the configuration in force allows, and logs how recent that configuration is.
    void refuseWithoutRoute(const std::shared_ptr<HttpExchange>&, const std::string& attemptId);
    /// Refuses a request that the decision does not admit. The log line names the team and never the key.
    void refuseCredential(const std::shared_ptr<HttpExchange>&, const std::string& attemptId, const CredentialDecision&);
    /// Calls the engine and executes the actions that it returns.
    template <typename Call>
    void callEngine(Call call)
    {
        ForwardActions actions;
        call(m_parts.clock.now(), actions);
        m_heldResponses.set(m_engine.heldBytes());
        execute(actions);
    }
    void execute(const ForwardActions&);
    void deliver(const ForwardAnswer&);
    void setTimer();

    ForwardDriverParts m_parts;
    SearchDelegation* m_delegation = nullptr;
    bool m_declinesDelegations = false;
    boost::asio::steady_timer m_timer;
    TimePoint m_timerAt = never;
    ForwardEngine m_engine;
    BufferCharge m_heldResponses { BufferLimit::ofProcess(), "requests in progress", nullptr };
    ServerConnections m_connections;
    std::shared_ptr<const RouteTable> m_routes;
    std::unordered_map<RequestNumber, PendingRequest> m_pending;
    QuotaDriver* m_quotas = nullptr;
    std::unordered_map<RequestNumber, ForwardRequest> m_held; ///< Those in m_pending that wait for their team's quota.
    std::uint64_t m_lastRequest = 0;
    Counter& m_noRoute;
    Counter& m_unknownKeys;
    Counter& m_unverifiableKeys;
    BucketHistogram& m_answerTimes;
};

}
