#include "daemon/relay_worker.h"

#include "daemon/request_log.h"

#include <boost/asio/post.hpp>

namespace lycheefield {

namespace {

/// Sets the server's span as the parent in the traceparent that the server receives. Precondition: the order has one leg.
void setServerSpan(WorkOrder& work)
{
    auto parent = TraceParent::parse(work.traceparent);
    if (parent.traceId.empty())
        return;
    const auto& leg = work.legs.front();
    parent.parent = serverSpanOf({ work.request, leg.leg, leg.attempt });
    work.traceparent = parent.toString();
}

}

RelayWorker::RelayWorker(const RelayContext& context, std::unique_ptr<RelayEngine> engine)
    : m_context(context)
    , m_engine(std::move(engine))
    , m_strand(boost::asio::make_strand(context.io))
    , m_timer(m_strand, context.clock)
    , m_healthTimer(m_strand)
    , m_map(std::make_shared<const ShardMap>())
{
}

void RelayWorker::run(EngineCall call)
{
    boost::asio::post(m_strand, [self = shared_from_this(), call = std::move(call)] { self->runOnStrand(call); });
}

void RelayWorker::runOnStrand(const EngineCall& call)
{
    RelayActions actions;
    call(*m_engine, m_context.clock->now(), actions);
    for (auto& it : actions)
        std::visit([this](auto& action) { execute(action); }, it);
    m_inFlight.store(m_engine->inFlight(), std::memory_order_relaxed);
    {
        const std::lock_guard lock(m_countersMutex);
        m_counters = m_engine->counters();
    }
    arm();
}

void RelayWorker::arm()
{
    if (m_closed)
        return;
    m_timer.arm(m_engine->nextWake(), [self = shared_from_this()] {
        self->runOnStrand([](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onTimer(now, actions); });
    });
}

void RelayWorker::onTables(std::shared_ptr<const ShardMap> map, std::shared_ptr<const Ownership> ownership)
{
    run([this, map = std::move(map), ownership = std::move(ownership)](RelayEngine& engine, TimePoint now, RelayActions& actions) {
        m_map = map;
        updateControls(*ownership);
        engine.onTables(map, ownership, now, actions);
    });
}

void RelayWorker::updateControls(const Ownership& ownership)
{
    for (auto it = m_controls.begin(); it != m_controls.end();) {
        const bool isKept = m_map->findServer(it->first) && ownership.holds(m_context.self, it->first);
        if (!isKept)
            it->second->close();
        it = isKept ? std::next(it) : m_controls.erase(it);
    }
    for (const auto& [name, server] : m_map->servers()) {
        if (!m_closed && !m_controls.contains(name) && ownership.holds(m_context.self, name))
            m_controls.emplace(name, m_context.backends.openControl(m_strand, server, weak_from_this()));
    }
    if (!m_isPolling && !m_controls.empty())
        pollHealth();
}

void RelayWorker::pollHealth()
{
    m_isPolling = true;
    for (const auto& [name, control] : m_controls)
        control->pollHealth();
    m_healthTimer.expires_after(m_context.healthPeriod);
    m_healthTimer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && !self->m_closed)
            self->pollHealth();
    });
}

void RelayWorker::onWork(WorkOrder work)
{
    m_inFlight.fetch_add(work.legs.size(), std::memory_order_relaxed);
    run([work = std::move(work)](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onWork(work, now, actions); });
}

void RelayWorker::onCancel(const LegKey& key)
{
    run([key](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onCancel(key, now, actions); });
}

void RelayWorker::onEntryDisconnected(const InstanceName& entry)
{
    run([entry](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onEntryDisconnected(entry, now, actions); });
}

void RelayWorker::onCrashAnnounced(const AnnounceCrash& news)
{
    run([news](RelayEngine& engine, TimePoint now, RelayActions&) { engine.onCrashAnnounced(news, now); });
}

void RelayWorker::onServerAnnounced(const ServerState& state)
{
    run([state](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onServerAnnounced(state, now, actions); });
}

void RelayWorker::beginDrain()
{
    run([](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.beginDrain(now, actions); });
}

void RelayWorker::close()
{
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->m_closed = true;
        self->m_timer.cancel();
        self->m_healthTimer.cancel();
        for (const auto& [id, connection] : self->m_connections)
            connection->close();
        for (const auto& [name, control] : self->m_controls)
            control->close();
        self->m_connections.clear();
        self->m_controls.clear();
    });
}

RelayCounters RelayWorker::counters() const
{
    const std::lock_guard lock(m_countersMutex);
    return m_counters;
}

void RelayWorker::readStates(std::function<void(const std::vector<ServerState>&)> function)
{
    boost::asio::post(m_strand, [self = shared_from_this(), function = std::move(function)] { function(self->m_engine->states()); });
}

void RelayWorker::onBackendConnected(const ServerName& server, ConnectionId id)
{
    runOnStrand([&](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onConnected(server, id, now, actions); });
}

void RelayWorker::onBackendResponse(const ServerName& server, ConnectionId id, const LegResponse& answer)
{
    runOnStrand([&](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onLegResponse(server, id, answer, now, actions); });
}

void RelayWorker::onBackendDisconnected(const ServerName& server, ConnectionId id, bool bytesWritten)
{
    m_connections.erase(id);
    runOnStrand([&](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onConnectionLost(server, id, bytesWritten, now, actions); });
}

void RelayWorker::onBackendNotOpened(const ServerName& server, ConnectionId id)
{
    m_connections.erase(id);
    runOnStrand([&](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onConnectionNotOpened(server, id, now, actions); });
}

void RelayWorker::onBackendHealth(const ServerName& server, const HealthReport& report)
{
    runOnStrand([&](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onHealth(server, report, now, actions); });
}

void RelayWorker::execute(OpenConnection& action)
{
    const auto* server = m_map->findServer(action.server);
    if (!server || m_closed) {
        run([action](RelayEngine& engine, TimePoint now, RelayActions& actions) { engine.onConnectionLost(action.server, action.connection, false, now, actions); });
        return;
    }
    m_connections[action.connection] = m_context.backends.open(m_strand, *server, action.connection, weak_from_this());
}

void RelayWorker::execute(CloseConnection& action)
{
    const auto it = m_connections.find(action.connection);
    if (it == m_connections.end())
        return;
    it->second->close();
    m_connections.erase(it);
}

void RelayWorker::execute(SendLeg& action)
{
    const auto it = m_connections.find(action.connection);
    if (it == m_connections.end()) {
        run([server = action.server, id = action.connection](RelayEngine& engine, TimePoint now, RelayActions& actions) {
            engine.onConnectionLost(server, id, false, now, actions);
        });
        return;
    }
    setServerSpan(action.work);
    it->second->run(action.work, m_context.clock->now());
}

void RelayWorker::execute(CancelAtServer& action)
{
    const auto it = m_controls.find(action.server);
    if (it != m_controls.end())
        it->second->cancel(action.key);
}

void RelayWorker::execute(ReturnResult& action)
{
    m_context.entries.returnResult(action.entry, std::move(action.result));
}

void RelayWorker::execute(AnnounceServerState& action)
{
    m_context.entries.announceServer(action.state);
}

void RelayWorker::execute(AnnounceCrash& action)
{
    m_context.entries.announceCrash(action);
}

}
