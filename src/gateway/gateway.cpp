#include "gateway/gateway.h"

#include "base/buffer_limit.h"
#include "gateway/computed_response.h"
#include "gateway/descriptor_budget.h"
#include "gateway/end_record.h"
#include "gateway/followed_states.h"
#include "gateway/forward_driver.h"
#include "gateway/gateway_metrics.h"
#include "gateway/key_admission.h"
#include "gateway/known_configuration.h"
#include "gateway/known_servers.h"
#include "gateway/peer_prober.h"
#include "gateway/planned_stop.h"
#include "gateway/port_opener.h"
#include "http/probe_limits.h"
#include "observe/handler_loop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>

namespace lycheefield {

namespace {

constexpr Duration housekeepingPeriod = std::chrono::seconds(1);
constexpr unsigned ok = 200;
constexpr unsigned unavailable = 503;

}

class Gateway::Impl final : public StoreNewsEvents, public PortEvents {
public:
    Impl(const Settings& settings, GatewayProtocols protocols)
        : m_settings(settings)
        , m_strand(boost::asio::make_strand(m_io))
        , m_log(settings.gateway.logLinesPerSecond)
        , m_freshness(settings.admission.revocationLimit)
        , m_keyAdmission(m_freshness, *m_clock, m_log, m_metrics)
        , m_states(*m_clock, m_log, m_metrics)
        , m_driver({ m_strand, *m_clock, protocols.callers, protocols.servers, m_metrics, m_log, m_freshness, m_states, m_descriptors.forServers() }, forwardSettings(settings))
        , m_delegateChooser(settings.instance.name, settings.instance.zone)
        , m_delegation({ m_io, m_strand, m_clock, m_driver, m_metrics, m_log, *this }, m_delegateChooser, settings.instance.name, settings.instance.zone)
        , m_quotas(m_strand, *m_clock, m_driver, m_metrics, m_log, settings.instance.name, settings.admission)
        , m_prober(m_strand, *m_clock, m_delegation, m_log, settings.instance.name, [this] { onPresence(); })
        , m_end(m_strand, m_quotas)
        , m_servers(settings.gateway.renewalPeriod, settings.gateway.zoneDrainLimit, *m_clock, m_driver, m_log)
        , m_loop(m_io, m_metrics, [this](std::string_view why) { logState("handler threw an exception; its request ends, others continue", { { "why", why } }); })
        , m_ports(m_strand, *m_clock, *this)
        , m_readiness([this] { return HttpResponse { isReady() ? ok : unavailable, "text/plain", isReady() ? "ready\n" : "not ready\n" }; })
        , m_metricsPage([this] { return HttpResponse { ok, "text/plain; version=0.0.4", m_metrics.render() }; })
        , m_callerServer(m_io, m_driver, m_clock, m_callerCounters, { .maxConnections = m_descriptors.forCallers() })
        , m_configuration(m_descriptors.forCallers(), *m_clock, m_driver, m_callerServer, m_log)
        , m_readinessServer(m_io, m_readiness, m_clock, m_probeCounters, probeLimits())
        , m_metricsServer(m_io, m_metricsPage, m_clock, m_probeCounters, probeLimits())
        , m_signals(m_strand, SIGTERM, SIGINT, SIGHUP)
        , m_housekeeping(m_strand)
        , m_stop(m_strand, *m_clock, m_driver, m_callerServer, { settings.gateway.stopLimit, settings.drain.balancerLag }, [this] { endRun(); })
    {
        m_driver.setDelegation(m_delegation, m_delegateChooser);
        m_quotas.setDelegation(m_delegation);
        m_driver.setQuotas(m_quotas);
        BufferLimit::ofProcess()->setMax(settings.instance.maxBuffered);
        followStates();
        registerGatewayMetrics(m_metrics, { m_driver, m_servers, m_log, m_callerCounters, [this] { return isReady(); } });
        registerDescriptorMetrics(m_metrics, m_descriptors);
    }

    boost::asio::any_io_executor executor() { return m_strand; }

    void onRoutes(RouteTable&& table, const ChangeOrigin& origin)
    {
        m_configuration.apply(std::move(table), origin);
        updateReadiness();
    }

    void onConfigurationConfirmed(TimePoint sentAt)
    {
        m_freshness.confirm(sentAt);
        updateReadiness();
    }

    void onStateProof(FollowedObjects objects, const StateProof& proof) { m_states.record(objects, proof); }

    void onServers(const ServerChanges& changes)
    {
        m_servers.apply(changes);
        updateReadiness();
    }

    void onDrainedZones(const std::set<ZoneName>& zones, bool isNewEpoch)
    {
        m_servers.setDrainedZones(zones, isNewEpoch);
        updateReadiness();
    }

    void onStoreReachable(bool isReachable) { m_servers.setStoreReachable(isReachable); }

    void onInstances(const InstanceListing& listing)
    {
        m_instances = listing.instances;
        m_isListingSettled = listing.isSettled;
        auto counted = m_instances;
        counted.insert(counted.end(), listing.ended.begin(), listing.ended.end());
        m_driver.setInstances(counted);
        m_prober.setInstances(listing);
        onPresence();
        auto reachable = listing;
        // Others could not ask this instance for a role.
        reachable.holdsSelf = listing.holdsSelf && m_ports.areRequiredOpen();
        m_quotas.setInstances(reachable);
        m_prober.probe();
    }

    bool needsLatestListing() const { return m_quotas.needsLatestListing(); }
    void onObjectLost()
    {
        logState("the object of this instance has left the store; roles are given up and it is written again", {});
        m_quotas.onObjectLost();
    }
    RoleDeclaration roleDeclaration() const { return m_quotas.declaration(); }
    void setInstanceRegistry(InstanceRegistry& registry)
    {
        m_end.setInstanceRegistry(registry);
        m_quotas.setInstanceRegistry(registry);
    }
    void setFollower(StoreFollower& follower) { m_follower = &follower; }
    void setQuarantineStore(QuarantineStore& store) { m_quarantineStore = &store; }

    void onQuarantines(const std::vector<CrashNews>& quarantines)
    {
        for (const auto& it : quarantines)
            m_driver.onCrashAnnounced(it);
        if (!quarantines.empty())
            logState("quarantines read from the store", { { "count", std::to_string(quarantines.size()) } });
    }

    void onQuarantined(const CrashNews& news) override
    {
        if (m_quarantineStore)
            m_quarantineStore->keep(news);
    }

    std::vector<CrashNews> crashAnnouncements() const { return m_driver.crashAnnouncements(); }

    void announceNews(const StoreNews& news) { m_delegation.announceNews(news); }
    bool requestStoreState(const std::string& prefix) { return m_delegation.requestStoreState(prefix); }
    void sendStoreState(const InstanceName& to, const StoreNews& state) { m_delegation.sendStoreState(to, state); }

    void onNews(const InstanceName& from, const StoreNews& news) override
    {
        if (m_follower)
            m_follower->onNews(from, news);
    }

    void onStateRequested(const InstanceName& from, const StoreStateRequest& request) override
    {
        if (m_follower)
            m_follower->onStateRequested(from, request);
    }

    void onStateRequestFailed(const StoreStateRequest& request) override
    {
        if (m_follower)
            m_follower->onStateRequestFailed(request);
    }

    void onPortUnavailable(const std::string& name, const Error& error) override { logState("port not open; trying again until it is", { { "port", name }, { "why", error.message } }); }

    void onPortOpened(const std::string& name) override
    {
        logState("port open", { { "port", name } });
        updateReadiness();
    }

    Metrics& metrics() { return m_metrics; }

    Instance self() const { return { m_settings.instance.name, m_delegation.life(), m_inner, m_settings.gateway.callers, m_settings.instance.zone, InstanceHealth::Alive, m_settings.gateway.cores.value }; }

    Result<GatewayEndpoints> listen()
    {
        const auto& own = m_settings.gateway;
        const Endpoint innerEndpoint { own.callers.address, m_settings.listen.innerPort };
        const auto inner = m_ports.openRequired("inner", innerEndpoint, [this, innerEndpoint] { return m_delegation.listen(innerEndpoint); });
        if (!inner)
            return inner.error();
        m_inner = inner.value();
        const auto callers = m_ports.openRequired("callers", own.callers, [this, &own] { return m_callerServer.listen(own.callers); });
        if (!callers)
            return callers.error();
        const auto readiness = m_ports.openRequired("readiness", own.readiness, [this, &own] { return m_readinessServer.listen(own.readiness); });
        if (!readiness)
            return readiness.error();
        if (const Endpoint metrics { own.callers.address, own.metricsPort }; metrics.port != 0)
            m_ports.openOptional("metrics", [this, metrics] { return m_metricsServer.listen(metrics); });
        logState("started", { { "instance", m_settings.instance.name.value() }, { "zone", m_settings.instance.zone.value() }, { "callers", m_settings.gateway.callers.toString() }, { "caller_connections", std::to_string(m_descriptors.forCallers()) }, { "settings_adjusted", adjustedKeys() } });
        return GatewayEndpoints { callers.value(), readiness.value(), m_inner };
    }

    void run()
    {
        waitForSignal();
        runHousekeeping();
        m_loop.run();
    }

    void beginStop(std::string_view why)
    {
        if (m_stop.isBegun())
            return;
        m_ports.cancel();
        logState("stopping", { { "why", why }, { "in_flight", std::to_string(m_driver.inFlight()) } });
        m_stop.begin();
        m_quotas.resign();
        updateReadiness();
    }

private:
    static ForwardSettings forwardSettings(const Settings& settings)
    {
        auto forward = settings.forward;
        forward.instance = settings.instance.name;
        forward.zone = settings.instance.zone;
        forward.cores = settings.gateway.cores;
        return forward;
    }

    /// Returns the keys whose text had no value or one outside the range, separated by blanks.
    std::string adjustedKeys() const
    {
        std::string keys;
        for (const auto& it : m_settings.adjusted)
            keys.append(keys.empty() ? "" : " ").append(it);
        return keys;
    }

    bool isReady() const { return m_isReady.load(std::memory_order_relaxed); }

    void logState(std::string_view event, std::initializer_list<LineField> fields) { m_log.write(LineImportance::State, m_clock->now(), event, fields); }

    /// Passes on the instances and which of them are presumed gone.
    void onPresence()
    {
        m_delegation.onPeers(m_instances, m_prober.gone());
        m_quotas.setGone(m_prober.gone());
        if (m_follower)
            m_follower->onRank(m_isListingSettled ? m_delegation.newsRank() : std::max(1U, m_delegation.newsRank()));
    }

    void followStates()
    {
        m_states.follow(FollowedObjects::Configuration, m_settings.gateway.configurationLimit);
        m_states.follow(FollowedObjects::Servers, m_settings.gateway.serversLimit);
        m_states.follow(FollowedObjects::ZoneDrains, m_settings.gateway.zoneDrainLimit);
    }

    void updateReadiness()
    {
        const bool canAdmitKeys = m_keyAdmission.update(m_driver.routes().get());
        const bool isReady = m_driver.routes() && m_servers.mayGetWork() && canAdmitKeys && m_ports.areRequiredOpen() && !m_stop.isBegun();
        if (m_isReady.exchange(isReady) != isReady)
            logState(isReady ? "ready" : "not ready", {});
    }

    void runHousekeeping()
    {
        // Scheduled first, so that an exception does not end it.
        scheduleHousekeeping(housekeepingPeriod);
        m_driver.closeStaleConnections();
        m_delegation.shareCrashes(m_driver.crashAnnouncements());
        m_servers.review();
        m_states.review();
        updateReadiness();
        logEvictions();
        logConnectionShortage();
        const auto untilReview = m_servers.nextReview() == never ? housekeepingPeriod : Duration(m_servers.nextReview() - m_clock->now());
        scheduleHousekeeping(std::clamp(untilReview, Duration(1), housekeepingPeriod));
    }

    /// Logs whose connections were ended since the last call because all together buffered too much.
    void logEvictions()
    {
        for (const auto& it : BufferLimit::ofProcess()->takeEvictions()) {
            logState("connections ended; all together buffer too much",
                { { "owner", it.owner }, { "connections", std::to_string(it.connections) }, { "bytes", std::to_string(it.bytes) }, { "owner_bytes", std::to_string(it.ownerBytes) } });
        }
    }

    /// Logs that requests wait because the connections to servers have reached their limit, and when none does any more.
    void logConnectionShortage()
    {
        const auto waiting = m_driver.waitingForConnections();
        if (std::exchange(m_isShortOfConnections, waiting > 0) == (waiting > 0))
            return;
        logState(waiting > 0 ? "requests wait for a connection to a server; all that are allowed are in use" : "no request waits for a connection to a server any more",
            { { "waiting", std::to_string(waiting) }, { "allowed", std::to_string(m_descriptors.forServers()) } });
    }

    void scheduleHousekeeping(Duration delay)
    {
        m_housekeeping.expires_after(delay);
        m_housekeeping.async_wait([this](const boost::system::error_code& ec) {
            if (!ec)
                runHousekeeping();
        });
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code& ec, int signal) {
            if (ec)
                return;
            waitForSignal();
            if (signal == SIGHUP)
                logState("SIGHUP received; a changed settings file takes effect at the next start", {});
            else
                beginStop(signal == SIGTERM ? "SIGTERM" : "SIGINT");
        });
    }

    /// Ends the run once the store or the other instances know of it.
    void endRun()
    {
        m_end.begin([this] {
            logState("stopped", { { "in_flight", std::to_string(m_driver.inFlight()) } });
            m_io.stop();
        });
    }

    const Settings m_settings;
    const DescriptorBudget m_descriptors = DescriptorBudget::ofProcess();
    boost::asio::io_context m_io { 1 };
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    std::shared_ptr<const Clock> m_clock = std::make_shared<BootClock>();
    Metrics m_metrics;
    DecisionLog m_log;
    ConfigurationFreshness m_freshness;
    KeyAdmission m_keyAdmission;
    FollowedStates m_states;
    ForwardDriver m_driver;
    DelegateChooser m_delegateChooser;
    SearchDelegation m_delegation;
    QuotaDriver m_quotas;
    PeerProber m_prober;
    EndRecord m_end;
    StoreFollower* m_follower = nullptr;
    QuarantineStore* m_quarantineStore = nullptr;
    Endpoint m_inner;
    KnownServers m_servers;
    HandlerLoop m_loop;
    PortOpener m_ports;
    ComputedResponse m_readiness;
    ComputedResponse m_metricsPage;
    std::shared_ptr<HttpServerCounters> m_callerCounters = std::make_shared<HttpServerCounters>();
    std::shared_ptr<HttpServerCounters> m_probeCounters = std::make_shared<HttpServerCounters>();
    HttpServer m_callerServer;
    KnownConfiguration m_configuration;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_housekeeping;
    std::vector<Instance> m_instances; ///< Of the last listing.
    bool m_isListingSettled = false;
    PlannedStop m_stop;
    std::atomic<bool> m_isReady { false };
    bool m_isShortOfConnections = false;
};

Gateway::Gateway(const Settings& settings, GatewayProtocols protocols)
    : m_impl(std::make_shared<Impl>(settings, protocols))
{
}

Gateway::~Gateway() = default;

boost::asio::any_io_executor Gateway::executor() const
{
    return m_impl->executor();
}

void Gateway::onRoutes(RouteTable table, const ChangeOrigin& origin)
{
    m_impl->onRoutes(std::move(table), origin);
}

void Gateway::onConfigurationConfirmed(TimePoint sentAt)
{
    m_impl->onConfigurationConfirmed(sentAt);
}

void Gateway::onStateProof(FollowedObjects objects, const StateProof& proof)
{
    m_impl->onStateProof(objects, proof);
}

void Gateway::onServers(const ServerChanges& changes)
{
    m_impl->onServers(changes);
}

void Gateway::onDrainedZones(const std::set<ZoneName>& zones, bool isNewEpoch)
{
    m_impl->onDrainedZones(zones, isNewEpoch);
}

void Gateway::onStoreReachable(bool isReachable)
{
    m_impl->onStoreReachable(isReachable);
}

void Gateway::onInstances(const InstanceListing& listing)
{
    m_impl->onInstances(listing);
}

bool Gateway::needsLatestListing() const
{
    return m_impl->needsLatestListing();
}

void Gateway::onObjectLost()
{
    m_impl->onObjectLost();
}

RoleDeclaration Gateway::roleDeclaration() const
{
    return m_impl->roleDeclaration();
}

void Gateway::setInstanceRegistry(InstanceRegistry& registry)
{
    m_impl->setInstanceRegistry(registry);
}

void Gateway::setFollower(StoreFollower& follower)
{
    m_impl->setFollower(follower);
}

void Gateway::setQuarantineStore(QuarantineStore& store)
{
    m_impl->setQuarantineStore(store);
}

void Gateway::onQuarantines(const std::vector<CrashNews>& quarantines)
{
    m_impl->onQuarantines(quarantines);
}

std::vector<CrashNews> Gateway::crashAnnouncements() const
{
    return m_impl->crashAnnouncements();
}

void Gateway::announceNews(const StoreNews& news)
{
    m_impl->announceNews(news);
}

bool Gateway::requestStoreState(const std::string& prefix)
{
    return m_impl->requestStoreState(prefix);
}

void Gateway::sendStoreState(const InstanceName& to, const StoreNews& state)
{
    m_impl->sendStoreState(to, state);
}

Result<GatewayEndpoints> Gateway::listen()
{
    return m_impl->listen();
}

void Gateway::run()
{
    m_impl->run();
}

Metrics& Gateway::metrics()
{
    return m_impl->metrics();
}

Instance Gateway::self() const
{
    return m_impl->self();
}

void Gateway::stop()
{
    boost::asio::post(m_impl->executor(), [impl = m_impl] { impl->beginStop("stop requested"); });
}

}
