#include "gateway/server_connections.h"

#include "http/http_client_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lycheefield {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(1);
/// The time for which an idle connection is reused when its server gives no limit.
constexpr Duration defaultIdleAllowance = std::chrono::seconds(4);
/// A request that is not idempotent must not be sent twice, so it uses an idle connection only within the first
/// 1/freshDivisor of the idle time that the server allows.
constexpr int freshDivisor = 3;
/// Added to the time that connecting took (about one round trip) before the first request is sent.
constexpr Duration acceptanceMargin = std::chrono::microseconds(300);
/// A connection on which the server refused so many attempts is closed instead of remembering more.
constexpr std::size_t maxRefusedAttempts = 32;
constexpr std::uint64_t maxResponseBytes = 8ULL * 1024 * 1024;
constexpr std::uint32_t maxResponseHeaderBytes = 32 * 1024;
/// The minimum time left that a request tells its server: with zero the server would not begin.
constexpr Duration minTimeLeft = std::chrono::milliseconds(1);

HttpLimits responseLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = maxResponseBytes;
    limits.maxHeaderBytes = maxResponseHeaderBytes;
    return limits;
}

/// A server and its address: an address that is reused belongs to a different server.
using ServerKey = std::pair<ServerName, Endpoint>;

}

class ServerConnections::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(const boost::asio::any_io_executor& executor, const Clock& clock, const ServerProtocol& protocol, ServerRequestEvents& events, Metrics& metrics)
        : m_executor(executor)
        , m_clock(clock)
        , m_protocol(protocol)
        , m_events(events)
        , m_opened(metrics.counter("lycheefield_server_connections_opened_total"))
        , m_reused(metrics.counter("lycheefield_server_connections_reused_total"))
        , m_unusable(metrics.counter("lycheefield_server_replies_unusable_total"))
        , m_withdrawn(metrics.counter("lycheefield_sends_withdrawn_for_drain_total"))
    {
    }

    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void send(const SendServerRequest&);
    void check(const CheckServer&);
    void withdrawUnsent(const std::set<ZoneName>&);
    void cancel(ServerRequestId);
    void discardResponse(ServerRequestId);
    void closeStale();
    std::size_t count() const { return m_count; }
    /// Removes and returns an idle connection to the server that may carry the request; null when there is none.
    ConnectionPtr takeIdle(const ServerKey&, const SendServerRequest&);
    void closeStaleOf(std::vector<ConnectionPtr>&, TimePoint);

    /// Makes a connection available for later requests.
    void addIdle(const ServerKey&, const ConnectionPtr&);
    void remove(const ServerKey&, const Connection*);
    void removeBusy(ServerRequestId id) { m_busy.erase(id); }
    /// Reports the result of the check if the connection was opened for one that is in progress.
    void endCheck(const Connection&, ServerCheck);

private:
    friend class Connection;

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const ServerProtocol& m_protocol;
    ServerRequestEvents& m_events;
    Counter& m_opened;
    Counter& m_reused;
    Counter& m_unusable;
    Counter& m_withdrawn;
    std::map<ServerKey, std::vector<ConnectionPtr>> m_idle;
    std::unordered_map<ServerRequestId, ConnectionPtr> m_busy;
    std::map<ServerKey, ConnectionPtr> m_checks; ///< Connections that are being opened to check servers.
    std::size_t m_count = 0;
};

/// One connection and the request that it carries, if any.
class ServerConnections::Impl::Connection final : public HttpClientEvents, public std::enable_shared_from_this<Connection> {
public:
    Connection(std::weak_ptr<Impl> owner, ServerKey key, const boost::asio::any_io_executor& executor, TimePoint now)
        : m_owner(std::move(owner))
        , m_key(std::move(key))
        , m_acceptanceTimer(executor)
        , m_openedAt(now)
    {
    }

    void open(const boost::asio::any_io_executor& executor, const ServiceName& service)
    {
        m_http = openHttpConnection(executor, m_key.second, weak_from_this(), connectTimeout, responseLimits(), service.value());
    }

    void assign(const SendServerRequest& request)
    {
        m_request = request;
        m_isResponseUnneeded = false;
        if (m_isAccepted)
            transmit();
    }

    void discardResponse()
    {
        m_isResponseUnneeded = true;
        if (m_isAccepted)
            m_http->discardResponse();
    }

    void close()
    {
        m_request.reset();
        m_isClosed = true;
        m_acceptanceTimer.cancel();
        m_http->close();
    }

    /// Whether a request for a server of these zones waits for this connection to open, so that the server has not seen it.
    bool isUnsentTo(const std::set<ZoneName>& zones) const { return !m_isAccepted && m_request && zones.contains(m_request->server.zone); }
    bool isStale(TimePoint now) const { return now >= m_usableUntil; }
    bool isFresh(TimePoint now) const { return now < m_freshUntil; }
    /// Whether a response that arrives on this connection can't be taken for one to an earlier send of the attempt.
    bool mayCarry(const std::string& attemptId) const { return std::find(m_refusedAttempts.begin(), m_refusedAttempts.end(), attemptId) == m_refusedAttempts.end(); }
    const ServerKey& key() const { return m_key; }

    /// A server at its connection limit closes a connection right after accepting it, which this process
    /// learns one round trip later. No request is sent before then, so a rejected request has certainly
    /// not run.
    void onConnected() override
    {
        const auto owner = m_owner.lock();
        if (!owner)
            return;
        m_isConnected = true;
        owner->endCheck(*this, ServerCheck::Running);
        m_acceptanceTimer.expires_after(owner->m_clock.now() - m_openedAt + acceptanceMargin);
        m_acceptanceTimer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
            if (ec || self->m_isClosed)
                return;
            self->m_isAccepted = true;
            if (self->m_request)
                self->transmit();
            else
                self->becomeIdle(defaultIdleAllowance);
        });
    }

    void onResponse(HttpResponse message) override
    {
        const auto owner = m_owner.lock();
        if (!owner || !m_request)
            return;
        const auto request = *std::exchange(m_request, std::nullopt);
        owner->removeBusy(request.id);
        const auto declared = owner->m_protocol.idleAllowance(message);
        auto response = owner->m_protocol.read(std::move(message), request.attemptId);
        if (response.kind == ServerResponseKind::NotRun || response.kind == ServerResponseKind::WrongServer)
            m_refusedAttempts.push_back(request.attemptId);
        const bool isUnusable = response.kind == ServerResponseKind::Unusable;
        if (isUnusable)
            owner->m_unusable.add();
        if (isUnusable || m_refusedAttempts.size() >= maxRefusedAttempts) {
            m_http->close();
            owner->remove(m_key, this);
        } else {
            becomeIdle(declared == Duration {} ? defaultIdleAllowance : declared);
        }
        // Posted, so that a connection that closes with this response is removed before it could be reused.
        boost::asio::post(owner->m_executor, [owner, id = request.id, response = std::move(response)] { owner->m_events.onResponse(id, response); });
    }

    void onLost(bool bytesWritten, const std::string&) override
    {
        m_isClosed = true;
        m_acceptanceTimer.cancel();
        const auto owner = m_owner.lock();
        if (!owner)
            return;
        owner->remove(m_key, this);
        owner->endCheck(*this, m_http->wasRejected() ? ServerCheck::Ended : ServerCheck::Unreachable);
        if (!m_request)
            return;
        const auto id = std::exchange(m_request, std::nullopt)->id;
        owner->removeBusy(id);
        owner->m_events.onFailed(id, failureOf(bytesWritten));
    }

private:
    ServerRequestFailure failureOf(bool bytesWritten) const
    {
        if (bytesWritten)
            return ServerRequestFailure::Broken;
        if (m_isConnected)
            return ServerRequestFailure::ConnectionRejected;
        return m_http->lackedResources() ? ServerRequestFailure::NoLocalResources : ServerRequestFailure::NotConnected;
    }

    /// Makes the connection available for later requests until the allowance ends.
    void becomeIdle(Duration allowance)
    {
        const auto owner = m_owner.lock();
        if (!owner)
            return;
        const auto now = owner->m_clock.now();
        m_usableUntil = now + allowance;
        m_freshUntil = now + allowance / freshDivisor;
        owner->addIdle(m_key, shared_from_this());
    }

    void transmit()
    {
        const auto owner = m_owner.lock();
        if (!owner)
            return;
        const auto left = std::max(minTimeLeft, Duration(m_request->deadline - owner->m_clock.now()));
        m_http->send(owner->m_protocol.write(*m_request->message, { m_request->server.name, left, m_request->team }));
        if (m_isResponseUnneeded)
            m_http->discardResponse();
    }

    std::weak_ptr<Impl> m_owner;
    ServerKey m_key;
    std::shared_ptr<HttpClientConnection> m_http;
    std::optional<SendServerRequest> m_request;
    TimePoint m_usableUntil = never;
    TimePoint m_freshUntil = never;
    boost::asio::steady_timer m_acceptanceTimer;
    TimePoint m_openedAt;
    std::vector<std::string> m_refusedAttempts; ///< The attempts that the server refused on this connection. It may send a refusal twice, and late.
    bool m_isConnected = false;
    bool m_isAccepted = false; ///< The server has kept the connection open for a round trip: requests may be sent.
    bool m_isResponseUnneeded = false; ///< To the current request.
    bool m_isClosed = false;
};

ServerConnections::Impl::ConnectionPtr ServerConnections::Impl::takeIdle(const ServerKey& key, const SendServerRequest& request)
{
    const auto it = m_idle.find(key);
    if (it == m_idle.end())
        return nullptr;
    const auto now = m_clock.now();
    closeStaleOf(it->second, now);
    auto& idle = it->second;
    const auto mayCarry = [&](const ConnectionPtr& connection) { return connection->mayCarry(request.attemptId) && (request.isIdempotent || connection->isFresh(now)); };
    const auto chosen = std::find_if(idle.rbegin(), idle.rend(), mayCarry);
    if (chosen == idle.rend())
        return nullptr;
    auto connection = *chosen;
    idle.erase(std::next(chosen).base());
    return connection;
}

void ServerConnections::Impl::send(const SendServerRequest& request)
{
    const ServerKey key { request.server.name, request.server.endpoint };
    if (const auto idle = takeIdle(key, request)) {
        m_reused.add();
        m_busy.emplace(request.id, idle);
        idle->assign(request);
        return;
    }
    m_opened.add();
    ++m_count;
    const auto connection = std::make_shared<Connection>(weak_from_this(), key, m_executor, m_clock.now());
    m_busy.emplace(request.id, connection);
    connection->assign(request);
    connection->open(m_executor, request.server.service);
}

void ServerConnections::Impl::check(const CheckServer& check)
{
    const ServerKey key { check.server.name, check.server.endpoint };
    const auto idle = m_idle.find(key);
    if (check.mayUseOpenConnection && idle != m_idle.end() && !idle->second.empty()) {
        boost::asio::post(m_executor, [self = shared_from_this(), server = check.server.name] { self->m_events.onChecked(server, ServerCheck::Running); });
        return;
    }
    m_opened.add();
    ++m_count;
    const auto connection = std::make_shared<Connection>(weak_from_this(), key, m_executor, m_clock.now());
    m_checks.emplace(key, connection);
    connection->open(m_executor, check.server.service);
}

void ServerConnections::Impl::endCheck(const Connection& connection, ServerCheck result)
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
    connection->close();
    --m_count;
}

void ServerConnections::Impl::discardResponse(ServerRequestId id)
{
    if (const auto it = m_busy.find(id); it != m_busy.end())
        it->second->discardResponse();
}

void ServerConnections::Impl::closeStaleOf(std::vector<ConnectionPtr>& idle, TimePoint now)
{
    m_count -= std::erase_if(idle, [&](const ConnectionPtr& connection) {
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
}

void ServerConnections::Impl::addIdle(const ServerKey& key, const ConnectionPtr& connection)
{
    m_idle[key].push_back(connection);
}

void ServerConnections::Impl::remove(const ServerKey& key, const Connection* connection)
{
    --m_count;
    const auto it = m_idle.find(key);
    if (it != m_idle.end())
        std::erase_if(it->second, [&](const ConnectionPtr& other) { return other.get() == connection; });
}

ServerConnections::ServerConnections(
    const boost::asio::any_io_executor& executor, const Clock& clock, const ServerProtocol& protocol, ServerRequestEvents& events, Metrics& metrics)
    : m_impl(std::make_shared<Impl>(executor, clock, protocol, events, metrics))
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

}
