#include "gateway/server_connections.h"

#include "gateway/connection_queue.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <vector>

namespace lycheefield {

namespace {

/// A connection that becomes idle serves the next request for its own server, unless the first one in the queue has waited for longer.
constexpr Duration maxOvertakenTime = std::chrono::milliseconds(100);

}

class ServerConnections::Impl final : public ServerConnectionOwner, public std::enable_shared_from_this<Impl> {
public:
    Impl(const boost::asio::any_io_executor& executor, const Clock& clock, const ServerProtocol& protocol, ServerRequestEvents& events, Metrics& metrics, std::size_t maxConnections)
        : m_executor(executor)
        , m_clock(clock)
        , m_protocol(protocol)
        , m_events(events)
        , m_maxConnections(maxConnections)
        , m_opened(metrics.counter("lycheefield_server_connections_opened_total"))
        , m_reused(metrics.counter("lycheefield_server_connections_reused_total"))
        , m_unusable(metrics.counter("lycheefield_server_replies_unusable_total"))
        , m_withdrawn(metrics.counter("lycheefield_sends_withdrawn_for_drain_total"))
        , m_waits(metrics.counter("lycheefield_server_connection_waits_total"))
    {
    }

    void send(const SendServerRequest&);
    void check(const CheckServer&);
    void withdrawUnsent(const std::set<ZoneName>&);
    void withdrawWaiting(const std::function<bool(const ServerName&)>& mayServe);
    void cancel(ServerRequestId);
    void discardResponse(ServerRequestId);
    void closeStale();
    std::size_t count() const { return m_count; }
    std::size_t waiting() const { return m_queue.size(); }

    void onOpened(ServerConnection& connection) override { endCheck(connection, ServerCheck::Running); }
    void onIdle(const ServerConnectionPtr&) override;
    void onResponse(ServerConnection&, ServerRequestId, ServerResponse, bool isReusable) override;
    void onEnded(ServerConnection&, const ServerConnectionEnd&) override;

private:
    ServerConnectionPtr makeConnection(const ServerEntry& server) { return std::make_shared<ServerConnection>(weak_from_this(), m_executor, m_clock, m_protocol, server); }
    /// Removes and returns an idle connection to the server that may carry the request; null when there is none.
    ServerConnectionPtr takeIdle(const ServerKey&, const SendServerRequest&);
    /// Opens the connection if the limit allows it, if need be in the place of the one that has been idle for longest.
    bool openWithinLimit(const ServerConnectionPtr&);
    bool closeLongestIdle();
    void closeStaleOf(std::vector<ServerConnectionPtr>&, TimePoint);
    /// Records that an opened connection is closed.
    void forget(const ServerConnection&);
    /// Ends the requests, which no server has seen, as withdrawn.
    void withdraw(const std::vector<ServerRequestId>&);
    /// Ends the connection, whether it is opened or waits for that.
    void drop(const ServerConnectionPtr&);
    /// Lets the queue go on after a connection has become idle or is closed. Posted, so that a connection that closes right after its
    /// response is not used.
    void serveQueueLater();
    void serveQueue();
    /// Whether a request may be sent before the first connection of the queue is opened. A check is not overtaken.
    bool mayOvertakeFirst() const;
    /// Sends queued requests for the server on its idle connections.
    void reuseIdle(const ServerKey&);
    /// Reports the result of the check if the connection was opened for one that is in progress.
    void endCheck(const ServerConnection&, ServerCheck);

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const ServerProtocol& m_protocol;
    ServerRequestEvents& m_events;
    std::size_t m_maxConnections;
    Counter& m_opened;
    Counter& m_reused;
    Counter& m_unusable;
    Counter& m_withdrawn;
    Counter& m_waits;
    std::map<ServerKey, std::vector<ServerConnectionPtr>> m_idle; ///< The one that has been idle for longest comes first.
    std::unordered_map<ServerRequestId, ServerConnectionPtr> m_busy;
    std::map<ServerKey, ServerConnectionPtr> m_checks; ///< Connections that are opened to check servers.
    ConnectionQueue m_queue;
    std::vector<ServerKey> m_freed; ///< Servers of connections that have become idle since the queue was served.
    std::size_t m_count = 0; ///< Connections that are opened and not closed.
    bool m_isServingPosted = false;
};

void ServerConnections::Impl::send(const SendServerRequest& request)
{
    const ServerKey key { request.server.name, request.server.endpoint };
    if (const auto idle = takeIdle(key, request)) {
        m_reused.add();
        m_busy.emplace(request.id, idle);
        idle->assign(request);
        return;
    }
    const auto connection = makeConnection(request.server);
    m_busy.emplace(request.id, connection);
    connection->assign(request);
    if (m_queue.isEmpty() && openWithinLimit(connection))
        return;
    m_waits.add();
    m_queue.push(connection, m_clock.now());
}

void ServerConnections::Impl::check(const CheckServer& check)
{
    const ServerKey key { check.server.name, check.server.endpoint };
    const auto idle = m_idle.find(key);
    if (check.mayUseOpenConnection && idle != m_idle.end() && !idle->second.empty()) {
        boost::asio::post(m_executor, [self = shared_from_this(), server = check.server.name] { self->m_events.onChecked(server, ServerCheck::Running); });
        return;
    }
    const auto connection = makeConnection(check.server);
    m_checks.emplace(key, connection);
    // A check that waits for long might find the server's next process.
    if (!openWithinLimit(connection))
        m_queue.pushFirst(connection, m_clock.now());
}

bool ServerConnections::Impl::openWithinLimit(const ServerConnectionPtr& connection)
{
    if (m_count >= m_maxConnections && !closeLongestIdle())
        return false;
    m_opened.add();
    ++m_count;
    connection->open();
    return true;
}

bool ServerConnections::Impl::closeLongestIdle()
{
    std::vector<ServerConnectionPtr>* longest = nullptr;
    for (auto& [key, idle] : m_idle) {
        if (!idle.empty() && (!longest || idle.front()->idleSince() < longest->front()->idleSince()))
            longest = &idle;
    }
    if (!longest)
        return false;
    longest->front()->close();
    longest->erase(longest->begin());
    --m_count;
    return true;
}

ServerConnectionPtr ServerConnections::Impl::takeIdle(const ServerKey& key, const SendServerRequest& request)
{
    const auto it = m_idle.find(key);
    if (it == m_idle.end())
        return nullptr;
    const auto now = m_clock.now();
    closeStaleOf(it->second, now);
    auto& idle = it->second;
    const auto chosen = std::find_if(idle.rbegin(), idle.rend(), [&](const auto& connection) { return connection->mayCarry(request, now); });
    if (chosen == idle.rend())
        return nullptr;
    auto connection = *chosen;
    idle.erase(std::next(chosen).base());
    return connection;
}

void ServerConnections::Impl::serveQueueLater()
{
    if (m_queue.isEmpty() || std::exchange(m_isServingPosted, true))
        return;
    boost::asio::post(m_executor, [self = shared_from_this()] {
        self->m_isServingPosted = false;
        self->serveQueue();
    });
}

void ServerConnections::Impl::serveQueue()
{
    for (const auto& server : std::exchange(m_freed, {})) {
        if (mayOvertakeFirst())
            reuseIdle(server);
    }
    while (!m_queue.isEmpty()) {
        const auto first = m_queue.first();
        if (!openWithinLimit(first))
            return;
        m_queue.erase(first);
    }
}

bool ServerConnections::Impl::mayOvertakeFirst() const
{
    return !m_queue.isEmpty() && m_queue.first()->request() && m_queue.longestWait(m_clock.now()) <= maxOvertakenTime;
}

void ServerConnections::Impl::reuseIdle(const ServerKey& server)
{
    while (const auto queued = m_queue.firstRequestTo(server)) {
        const auto idle = takeIdle(server, *queued->request());
        if (!idle)
            return;
        m_reused.add();
        m_queue.erase(queued);
        m_busy.insert_or_assign(queued->request()->id, idle);
        queued->moveRequestTo(*idle);
    }
}

void ServerConnections::Impl::endCheck(const ServerConnection& connection, ServerCheck result)
{
    const auto it = m_checks.find(connection.key());
    if (it == m_checks.end() || it->second.get() != &connection)
        return;
    const auto server = it->first.first;
    m_checks.erase(it);
    m_events.onChecked(server, result);
}

void ServerConnections::Impl::withdrawUnsent(const std::set<ZoneName>& zones)
{
    std::vector<ServerRequestId> withdrawn;
    for (const auto& [id, connection] : m_busy) {
        if (connection->isUnsentTo(zones))
            withdrawn.push_back(id);
    }
    withdraw(withdrawn);
}

void ServerConnections::Impl::withdrawWaiting(const std::function<bool(const ServerName&)>& mayServe)
{
    if (m_queue.isEmpty())
        return;
    std::vector<ServerRequestId> withdrawn;
    for (const auto& [id, connection] : m_busy) {
        if (!connection->isOpened() && !mayServe(connection->key().first))
            withdrawn.push_back(id);
    }
    withdraw(withdrawn);
}

void ServerConnections::Impl::withdraw(const std::vector<ServerRequestId>& withdrawn)
{
    for (const auto& id : withdrawn) {
        cancel(id);
        m_withdrawn.add();
        boost::asio::post(m_executor, [self = shared_from_this(), id] { self->m_events.onFailed(id, ServerRequestFailure::Withdrawn); });
    }
}

void ServerConnections::Impl::cancel(ServerRequestId id)
{
    const auto it = m_busy.find(id);
    if (it == m_busy.end())
        return;
    const auto connection = it->second;
    m_busy.erase(it);
    drop(connection);
}

void ServerConnections::Impl::drop(const ServerConnectionPtr& connection)
{
    connection->close();
    if (connection->isOpened())
        return forget(*connection);
    m_queue.erase(connection);
}

void ServerConnections::Impl::discardResponse(ServerRequestId id)
{
    if (const auto it = m_busy.find(id); it != m_busy.end())
        it->second->discardResponse();
}

void ServerConnections::Impl::closeStaleOf(std::vector<ServerConnectionPtr>& idle, TimePoint now)
{
    m_count -= std::erase_if(idle, [&](const ServerConnectionPtr& connection) {
        if (!connection->isStale(now))
            return false;
        connection->close();
        return true;
    });
}

void ServerConnections::Impl::closeStale()
{
    const auto now = m_clock.now();
    for (auto& [key, idle] : m_idle)
        closeStaleOf(idle, now);
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
    serveQueueLater();
}

void ServerConnections::Impl::onIdle(const ServerConnectionPtr& connection)
{
    m_idle[connection->key()].push_back(connection);
    if (m_queue.isEmpty())
        return;
    m_freed.push_back(connection->key());
    serveQueueLater();
}

void ServerConnections::Impl::forget(const ServerConnection& connection)
{
    --m_count;
    const auto it = m_idle.find(connection.key());
    if (it != m_idle.end())
        std::erase_if(it->second, [&](const auto& other) { return other.get() == &connection; });
    serveQueueLater();
}

void ServerConnections::Impl::onResponse(ServerConnection& connection, ServerRequestId id, ServerResponse response, bool isReusable)
{
    m_busy.erase(id);
    if (response.kind == ServerResponseKind::Unusable)
        m_unusable.add();
    if (!isReusable)
        forget(connection);
    // Posted, so that a connection that closes with this response is removed before it could be reused.
    boost::asio::post(m_executor, [self = shared_from_this(), id, response = std::move(response)] { self->m_events.onResponse(id, response); });
}

void ServerConnections::Impl::onEnded(ServerConnection& connection, const ServerConnectionEnd& end)
{
    forget(connection);
    endCheck(connection, end.check);
    if (!end.request)
        return;
    m_busy.erase(*end.request);
    m_events.onFailed(*end.request, end.failure);
}

ServerConnections::ServerConnections(const boost::asio::any_io_executor& executor, const Clock& clock, const ServerProtocol& protocol, ServerRequestEvents& events, Metrics& metrics,
    std::size_t maxConnections)
    : m_impl(std::make_shared<Impl>(executor, clock, protocol, events, metrics, maxConnections))
{
}

ServerConnections::~ServerConnections() = default;

void ServerConnections::send(const SendServerRequest& request)
{
    m_impl->send(request);
}

void ServerConnections::check(const CheckServer& check)
{
    m_impl->check(check);
}

void ServerConnections::withdrawUnsent(const std::set<ZoneName>& zones)
{
    m_impl->withdrawUnsent(zones);
}

void ServerConnections::withdrawWaiting(const std::function<bool(const ServerName&)>& mayServe)
{
    m_impl->withdrawWaiting(mayServe);
}

void ServerConnections::cancel(ServerRequestId id)
{
    m_impl->cancel(id);
}

void ServerConnections::discardResponse(ServerRequestId id)
{
    m_impl->discardResponse(id);
}

void ServerConnections::closeStale()
{
    m_impl->closeStale();
}

std::size_t ServerConnections::count() const
{
    return m_impl->count();
}

std::size_t ServerConnections::waiting() const
{
    return m_impl->waiting();
}

}
