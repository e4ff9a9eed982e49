#include "daemon/daemon.h"

#include "base/buffer_limit.h"
#include "daemon/caller_api.h"
#include "daemon/catalog_role.h"
#include "daemon/claim_metrics.h"
#include "daemon/claims_role.h"
#include "daemon/control_channel.h"
#include "daemon/daemon_metrics.h"
#include "daemon/drain.h"
#include "daemon/entry_driver.h"
#include "daemon/membership_role.h"
#include "daemon/operator_api.h"
#include "daemon/peer_calls.h"
#include "daemon/peer_router.h"
#include "daemon/relay_driver.h"
#include "daemon/request_admin.h"
#include "daemon/rules_role.h"
#include "observe/buffer_metrics.h"
#include "observe/handler_loop.h"
#include "observe/log.h"
#include "observe/metrics.h"
#include "platform/http_object_store.h"
#include "wire/asio_peer_network.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <thread>

namespace lycheefield {

namespace {

/// Query engines, and relay engines, per thread. More than one, so that a thread seldom finds every strand busy.
constexpr std::size_t enginesPerThread = 2;
/// Time for the last messages to peers to be written before the process ends.
constexpr Duration departureDelay = std::chrono::milliseconds(50);

/// Extra reads for an instance that takes over a partition and loads the partition's segments.
constexpr std::uint32_t claimReadsPerSecond = 200;
/// Upper bound of the pause after consecutive refused calls: orders wait until the store is reachable.
constexpr Duration maxPlatformBackoff = std::chrono::milliseconds(500);

/// Adds to the configured call budget the calls of an instance that owns every partition of the claims.
PlatformClientSettings clientSettings(const Settings& all)
{
    const auto& settings = all.platform;
    const auto window = std::max<Duration>(all.claims.batchWindow, std::chrono::milliseconds(1));
    const auto claimWrites = static_cast<std::uint32_t>(all.claims.partitions * (Duration(std::chrono::seconds(1)) / window));
    PlatformClientSettings out;
    out.endpoint = settings.endpoint;
    out.callTimeout = settings.requestTimeout;
    out.watchTimeout = settings.watchTimeout;
    out.readsPerSecond = settings.callsPerSecond + claimReadsPerSecond;
    out.writesPerSecond = settings.callsPerSecond + claimWrites;
    out.initialBackoff = settings.backoffMinimum;
    out.maxBackoff = std::min<Duration>(settings.backoffMaximum, maxPlatformBackoff);
    return out;
}

HttpLimits httpLimits(const HttpSettings& settings)
{
    HttpLimits out;
    out.maxHeaderBytes = static_cast<std::uint32_t>(settings.maxHeader.value);
    out.maxBodyBytes = settings.maxBody.value;
    out.maxConnections = settings.maxConnections;
    out.headerTimeout = settings.headerTimeout;
    out.messageTimeout = settings.headerTimeout + settings.bodyTimeout;
    out.idleTimeout = settings.idleTimeout;
    return out;
}

std::optional<Endpoint> gatewayOf(const ListenSettings& settings)
{
    if (!settings.crossZoneGateway.port)
        return std::nullopt;
    return settings.crossZoneGateway;
}

FrameSessionLimits frameLimits(const HttpSettings& settings)
{
    FrameSessionLimits out;
    out.frame.maxFrameBytes = static_cast<std::uint32_t>(settings.maxFrame.value);
    out.frame.maxListItems = std::max(out.frame.maxListItems, settings.maxLegs);
    return out;
}

}

class Daemon::Impl {
public:
    explicit Impl(const Settings& settings)
        : m_settings(settings)
        , m_io(static_cast<int>(settings.instance.threads))
        , m_clock(std::make_shared<SteadyClock>())
        , m_life(systemSeed())
        , m_publisher(m_tables, settings.instance.name, settings.instance.routing == Routing::Direct)
        , m_log(settings.observe.tracesKept)
        , m_router(settings.instance.name)
        , m_backends(makeHttpBackendConnector())
        , m_entry({ m_io, m_clock, m_tables, m_router, m_log }, settings.query, settings.instance.name, settings.instance.zone, m_life, engineCount())
        , m_relay({ m_io, m_clock, settings.instance.name, m_router, *m_backends }, settings.relay, m_tables, engineCount())
        , m_network({ m_io, { settings.instance.name, m_life, settings.instance.zone }, m_clock, m_wireCounters, frameLimits(settings.http), gatewayOf(settings.listen) }, m_tables.view, m_router)
        , m_control(m_network, m_clock, settings.fault.peerMessageLoss, std::make_unique<SeededRandom>(systemSeed()))
        , m_calls(std::make_shared<PeerCalls>(m_io, m_network,
              [this](const std::string& verb, const std::string& argument, const PeerCalls::Respond& respond) { m_requestAdmin.onCall(verb, argument, respond); }))
        , m_requestAdmin(settings.instance.name, m_entry, m_log, m_tables, *m_calls)
        , m_operators({ settings.instance.name, m_tables, m_entry, m_relay, m_requestAdmin, m_metrics, [this] { return readiness(); }, [this] { return controlStatus(); } })
        , m_client(std::make_shared<PlatformClient>(m_io.get_executor(), clientSettings(settings)))
        , m_store(std::make_shared<HttpObjectStore>(m_client))
        , m_claims(makeClaims())
        , m_api(m_entry, m_tables, *m_claims, m_log, m_operators, m_clock, settings.http.maxLegs, settings.claims.maxKey)
        , m_http(m_io, m_api, m_clock, m_httpCounters, httpLimits(settings.http))
        , m_signals(m_io, SIGTERM, SIGINT)
    {
        m_router.connect(m_entry, m_relay, m_network, [this](const Hello& from, PeerMessage message) { onControl(from, std::move(message)); });
        m_router.connectClaims([this](const InstanceName& peer) { m_claims->onLinkLost(peer); }, [this](const ClaimCall& call) { m_claims->onUndelivered(call); });
        m_router.connectMembership([this](const InstanceName& peer) { m_membership->onNotSent(peer); });
        BufferLimit::ofProcess()->setMax(settings.instance.maxBuffered);
        registerMetrics();
        m_publisher.addListener([this] {
            m_relay.onTables();
            m_network.closeLinksToRemovedPeers();
        });
    }

    Result<void> start()
    {
        const auto inner = m_network.listen({ m_settings.listen.address, m_settings.listen.innerPort });
        if (!inner)
            return inner.error();
        const auto http = m_http.listen({ m_settings.listen.address, m_settings.listen.httpPort });
        if (!http)
            return http.error();
        m_innerPort = inner.value().port;
        m_httpPort = http.value().port;
        startPlatform();
        logChange(LogLevel::Info, "listening for callers and peers", { { "http", http.value().toString() }, { "inner", inner.value().toString() } });
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Result<void> writePorts(const std::string& path) const
    {
        const std::string draft = path + ".tmp";
        std::ofstream out(draft);
        out << "http = " << m_httpPort << "\ninner = " << m_innerPort << '\n';
        out.close();
        if (!out || std::rename(draft.c_str(), path.c_str()) != 0)
            return Error { ErrorKind::Unavailable, "could not write the file of ports " + path, "choose a directory that exists and is writable" };
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Endpoint httpEndpoint() const { return { m_settings.reachableAddress(), m_httpPort }; }

    int run()
    {
        awaitSignal();
        std::vector<std::thread> threads;
        for (std::uint32_t i = 1; i < m_settings.instance.threads; ++i)
            threads.emplace_back([this] { m_loop.run(); });
        m_loop.run();
        for (auto& it : threads)
            it.join();
        return 0;
    }

private:
    std::size_t engineCount() const { return enginesPerThread * m_settings.instance.threads; }

    void startPlatform()
    {
        const auto& address = m_settings.reachableAddress();
        const Instance self { m_settings.instance.name, m_life, { address, m_innerPort }, { address, m_httpPort }, m_settings.instance.zone, InstanceHealth::Alive };
        m_catalog = std::make_shared<CatalogRole>(m_io.get_executor(), m_store, m_publisher);
        const MembershipContext membership { m_io, m_clock, m_control, m_publisher, std::make_shared<HttpInstanceList>(m_client) };
        m_membership = std::make_shared<MembershipRole>(membership, m_settings.membership, self, m_settings.platform.listPeriod);
        const RulesContext rules { m_io, m_clock, m_control, m_publisher, m_tables, m_store };
        m_rules = std::make_shared<RulesRole>(rules, m_settings.instance.name, m_settings.membership.watchersPerZone);
        m_membership->start([this](const InstanceName& peer, RuleRevision revision) { m_rules->onPeerRevision(peer, revision); });
        m_rules->start({ [this](RuleRevision revision) { m_membership->onRules(revision); }, [this] { m_membership->recordStoreResponse(); } });
        m_catalog->start();
        addControlMetrics();
        addClaimMetrics(m_metrics, *m_claims);
        addPlatformMetrics(m_metrics, *m_client);
    }

    std::shared_ptr<ClaimsRole> makeClaims()
    {
        auto engine = makeClaimEngine(m_settings.claims, std::make_unique<SeededRandom>(systemSeed()));
        auto driver = std::make_shared<ClaimDriver>(m_io, m_clock, m_store, std::move(engine));
        return std::make_shared<ClaimsRole>(ClaimsContext { m_io, m_clock, m_network, m_tables.view }, m_settings.claims, m_settings.instance.name, std::move(driver));
    }

    /// Dispatches peers' messages about claims, membership and rules, and operators' calls that a peer passed on.
    void onControl(const Hello& from, PeerMessage message)
    {
        if (auto* call = std::get_if<ClaimCall>(&message))
            return m_claims->onCall(from.instance, std::move(*call));
        if (auto* response = std::get_if<ClaimReply>(&message))
            return m_claims->onResponse(from.instance, std::move(*response));
        m_control.countReceived(message);
        if (auto* gossip = std::get_if<GossipMessage>(&message))
            m_membership->onGossip(from.instance, std::move(*gossip));
        else if (const auto* request = std::get_if<RuleRequest>(&message))
            m_rules->onRequest(from.instance, request->haveRevision);
        else if (auto* delta = std::get_if<RuleDelta>(&message))
            m_rules->onDelta(from.instance, std::move(*delta));
        else if (const auto* control = std::get_if<Control>(&message))
            m_calls->onControl(from.instance, *control);
    }

    ControlStatus controlStatus() const
    {
        ControlStatus status;
        status.bytes = m_control.bytes();
        status.membership = m_membership->counts();
        status.rules = m_rules->counts();
        status.watchesRules = m_rules->isWatching();
        return status;
    }

    void addControlMetrics()
    {
        m_metrics.gauge("lycheefield_control_bytes_total{direction=\"sent\"}", [this] { return static_cast<double>(m_control.bytes().sent.value); });
        m_metrics.gauge("lycheefield_control_bytes_total{direction=\"received\"}", [this] { return static_cast<double>(m_control.bytes().received.value); });
        m_metrics.gauge("lycheefield_rule_revision", [this] { return static_cast<double>(m_tables.rules.read()->revision().value()); });
        m_metrics.gauge("lycheefield_rules_lower_refused_total", [this] { return static_cast<double>(m_rules->counts().lowerRefused); });
        m_metrics.gauge("lycheefield_instances_alive", [this] {
            const auto view = m_tables.view.read();
            const auto& all = view->instances();
            return static_cast<double>(std::count_if(all.begin(), all.end(), [](const auto& it) { return it.second.health == InstanceHealth::Alive; }));
        });
        m_metrics.gauge("lycheefield_membership_suspicions_total", [this] { return static_cast<double>(m_membership->counts().suspicions); });
        m_metrics.gauge("lycheefield_membership_refutations_total", [this] { return static_cast<double>(m_membership->counts().refutations); });
    }

    Readiness readiness() const
    {
        if (m_isDraining)
            return { false, "draining" };
        if (!m_catalog || !m_catalog->isLoaded())
            return { false, "the catalog has not been read" };
        if (!m_rules->isReady())
            return { false, "no rules have been read from the store or a peer" };
        if (m_membership->isIsolated())
            return { false, "neither a peer nor the store answers" };
        if (m_membership->isSuperseded())
            return { false, "another process took this instance's name" };
        return { true, {} };
    }

    void registerMetrics()
    {
        registerBufferMetrics(m_metrics);
        registerEntryMetrics(m_metrics, m_entry);
        registerRelayMetrics(m_metrics, m_relay);
        registerHttpMetrics(m_metrics, m_httpCounters);
        registerWireMetrics(m_metrics, m_wireCounters);
        registerProcessMetrics(m_metrics);
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code& ec, int) {
            if (ec)
                return;
            if (!m_isDraining.exchange(true))
                drain();
            awaitSignal();
        });
    }

    void drain()
    {
        logChange(LogLevel::Info, "drain started; the process stops once nothing is in flight or the drain limit is reached");
        m_membership->beginLeaving();
        DrainParts parts;
        parts.inFlight = [this] { return m_entry.inFlight() + m_relay.inFlight() + m_claims->pending(); };
        parts.closeIdle = [this] { m_http.beginDrain(); };
        parts.stopLegs = [this] { m_relay.beginDrain(); };
        parts.stop = [this] { depart(); };
        m_drain = std::make_shared<Drain>(m_io.get_executor(), m_clock, m_settings.drain, std::move(parts));
        m_drain->start();
    }

    /// Announces to peers that this process ends, waits until the messages are written, and stops the event loop.
    void depart()
    {
        m_membership->depart();
        m_departure.expires_after(departureDelay);
        m_departure.async_wait([this](const boost::system::error_code&) { m_io.stop(); });
    }

    Settings m_settings;
    boost::asio::io_context m_io;
    std::shared_ptr<SteadyClock> m_clock;
    ProcessLife m_life;
    SharedTables m_tables;
    TablePublisher m_publisher;
    RequestLog m_log;
    Metrics m_metrics;
    HandlerLoop m_loop { m_io, m_metrics, [](std::string_view why) { logChange(LogLevel::Error, "a handler threw an exception; its request ends, other requests continue", { { "why", std::string(why) } }); } };
    std::shared_ptr<WireCounters> m_wireCounters = std::make_shared<WireCounters>();
    std::shared_ptr<HttpServerCounters> m_httpCounters = std::make_shared<HttpServerCounters>();
    PeerRouter m_router;
    std::unique_ptr<BackendConnector> m_backends;
    EntryDriver m_entry;
    RelayDriver m_relay;
    AsioPeerNetwork m_network;
    ControlChannel m_control;
    std::shared_ptr<PeerCalls> m_calls;
    RequestAdmin m_requestAdmin;
    OperatorPaths m_operators;
    std::shared_ptr<PlatformClient> m_client;
    std::shared_ptr<HttpObjectStore> m_store;
    std::shared_ptr<ClaimsRole> m_claims;
    CallerApi m_api;
    HttpServer m_http;
    boost::asio::signal_set m_signals;
    std::shared_ptr<MembershipRole> m_membership;
    std::shared_ptr<CatalogRole> m_catalog;
    std::shared_ptr<RulesRole> m_rules;
    std::shared_ptr<Drain> m_drain;
    boost::asio::steady_timer m_departure { m_io };
    std::atomic<bool> m_isDraining { false };
    std::uint16_t m_httpPort = 0;
    std::uint16_t m_innerPort = 0;
};

Daemon::Daemon(const Settings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Daemon::~Daemon() = default;

Result<void> Daemon::start()
{
    return m_impl->start();
}

Result<void> Daemon::writePorts(const std::string& path) const
{
    return m_impl->writePorts(path);
}

Endpoint Daemon::httpEndpoint() const
{
    return m_impl->httpEndpoint();
}

int Daemon::run()
{
    return m_impl->run();
}

}
