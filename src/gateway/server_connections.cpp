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
/// An idle connection is used again for this long when its server says nothing about it.
constexpr Duration defaultIdleAllowance = std::chrono::seconds(4);
/// A request that must not be sent twice uses a connection only while it was idle for less than this part of what is allowed.
constexpr int freshPart = 3;
/// Added to the time that connecting took, which is about one round trip.
constexpr Duration settleMargin = std::chrono::microseconds(300);
constexpr std::uint64_t largestReply = 8ULL * 1024 * 1024;
constexpr std::uint32_t largestReplyHeader = 32 * 1024;
/// The least that a server is told to have left: zero would mean that it need not begin.
constexpr Duration minTimeLeft = std::chrono::milliseconds(1);

HttpLimits replyLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = largestReply;
    limits.maxHeaderBytes = largestReplyHeader;
    return limits;
}

/// A server at an address: an address that is used again belongs to another one.
using ServerKey = std::pair<ServerName, Endpoint>;

}

class ServerConnections::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(const boost::asio::any_io_executor& executor, const Clock& clock, const ServerProtocol& protocol, ServerSendEvents& events, Metrics& metrics)
        : m_executor(executor)
        , m_clock(clock)
        , m_protocol(protocol)
        , m_events(events)
        , m_opened(metrics.counter("lycheefield_server_connections_opened_total"))
        , m_reused(metrics.counter("lycheefield_server_connections_reused_total"))
        , m_odd(metrics.counter("lycheefield_server_replies_unusable_total"))
    {
    }

    class Link;
    using LinkPtr = std::shared_ptr<Link>;

    void send(const SendServerRequest&);
    void close(ServerRequestId);
    void closeStale();
    std::size_t count() const { return m_count; }
    /// An idle connection to that server, out of the idle ones; null when there is none that may be used.
    LinkPtr takeIdle(const ServerKey&, bool mustBeFresh);
    void closeStaleOf(std::vector<LinkPtr>&, TimePoint);

    /// Takes a connection back that may be used again.
    void keep(const ServerKey&, const LinkPtr&);
    void drop(const ServerKey&, const Link*);
    void forget(ServerRequestId id) { m_busy.erase(id); }

private:
    friend class Link;

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const ServerProtocol& m_protocol;
    ServerSendEvents& m_events;
    Counter& m_opened;
    Counter& m_reused;
    Counter& m_odd;
    std::map<ServerKey, std::vector<LinkPtr>> m_idle;
    std::unordered_map<ServerRequestId, LinkPtr> m_busy;
    std::size_t m_count = 0;
};

/// One connection and the send that it carries, if any.
class ServerConnections::Impl::Link final : public HttpClientEvents, public std::enable_shared_from_this<Link> {
public:
    Link(std::weak_ptr<Impl> owner, ServerKey key, const boost::asio::any_io_executor& executor, TimePoint now)
        : m_owner(std::move(owner))
        , m_key(std::move(key))
        , m_settleTimer(executor)
        , m_openedAt(now)
    {
    }

    void open(const boost::asio::any_io_executor& executor)
    {
        m_connection = openHttpConnection(executor, m_key.second, weak_from_this(), connectTimeout, replyLimits());
    }

    void carry(const SendServerRequest& send)
    {
        m_send = send;
        if (m_isSettled)
            handOver();
    }

    void end()
    {
        m_send.reset();
        m_isOver = true;
        m_settleTimer.cancel();
        m_connection->close();
    }

    bool isStale(TimePoint now) const { return now >= m_usableUntil; }
    bool isFresh(TimePoint now) const { return now < m_freshUntil; }
    const ServerKey& key() const { return m_key; }

    /// A server at its limit ends a connection as soon as it has accepted it. That is heard one round
    /// trip later; until then nothing is handed over, so that it is certain that nothing ran.
    void onConnected() override
    {
        const auto owner = m_owner.lock();
        if (!owner)
            return;
        m_isConnected = true;
        m_settleTimer.expires_after(owner->m_clock.now() - m_openedAt + settleMargin);
        m_settleTimer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
            if (ec || self->m_isOver)
                return;
            self->m_isSettled = true;
            if (self->m_send)
                self->handOver();
        });
    }

    void onResponse(HttpResponse message) override
    {
        const auto owner = m_owner.lock();
        if (!owner || !m_send)
            return;
        const auto send = *std::exchange(m_send, std::nullopt);
        owner->forget(send.id);
        const auto told = owner->m_protocol.idleAllowance(message);
        const auto allowance = told == Duration {} ? defaultIdleAllowance : told;
        const auto now = owner->m_clock.now();
        m_usableUntil = now + allowance;
        m_freshUntil = now + allowance / freshPart;
        auto reply = owner->m_protocol.read(std::move(message), send.attemptId);
        if (reply.kind == ServerResponseKind::Unusable) {
            owner->m_odd.add();
            m_connection->close();
            owner->drop(m_key, this);
        } else {
            owner->keep(m_key, shared_from_this());
        }
        // Later, so that a connection that ends with this reply is dropped before it could be used again.
        boost::asio::post(owner->m_executor, [owner, id = send.id, reply = std::move(reply)] { owner->m_events.onResponse(id, reply); });
    }

    void onLost(bool bytesHanded, const std::string&) override
    {
        m_isOver = true;
        m_settleTimer.cancel();
        const auto owner = m_owner.lock();
        if (!owner)
            return;
        owner->drop(m_key, this);
        if (!m_send)
            return;
        const auto id = std::exchange(m_send, std::nullopt)->id;
        owner->forget(id);
        owner->m_events.onLost(id, bytesHanded ? ServerRequestFailure::Broken : (m_isConnected ? ServerRequestFailure::ConnectionRejected : ServerRequestFailure::NotConnected));
    }

private:
    void handOver()
    {
        const auto owner = m_owner.lock();
        if (!owner)
            return;
        const auto left = std::max(minTimeLeft, Duration(m_send->deadline - owner->m_clock.now()));
        m_connection->send(owner->m_protocol.write(*m_send->message, { m_send->server.name, left }));
    }

    std::weak_ptr<Impl> m_owner;
    ServerKey m_key;
    std::shared_ptr<HttpClientConnection> m_connection;
    std::optional<SendServerRequest> m_send;
    TimePoint m_usableUntil = never;
    TimePoint m_freshUntil = never;
    boost::asio::steady_timer m_settleTimer;
    TimePoint m_openedAt;
    bool m_isConnected = false;
    bool m_isSettled = false; ///< Requests may be handed over.
    bool m_isOver = false;
};

ServerConnections::Impl::LinkPtr ServerConnections::Impl::takeIdle(const ServerKey& key, bool mustBeFresh)
{
    const auto it = m_idle.find(key);
    if (it == m_idle.end())
        return nullptr;
    const auto now = m_clock.now();
    closeStaleOf(it->second, now);
    if (it->second.empty() || (mustBeFresh && !it->second.back()->isFresh(now)))
        return nullptr;
    auto link = it->second.back();
    it->second.pop_back();
    return link;
}

void ServerConnections::Impl::send(const SendServerRequest& send)
{
    const ServerKey key { send.server.name, send.server.endpoint };
    if (const auto idle = takeIdle(key, !send.isIdempotent)) {
        m_reused.add();
        m_busy.emplace(send.id, idle);
        idle->carry(send);
        return;
    }
    m_opened.add();
    ++m_count;
    const auto link = std::make_shared<Link>(weak_from_this(), key, m_executor, m_clock.now());
    m_busy.emplace(send.id, link);
    link->carry(send);
    link->open(m_executor);
}

void ServerConnections::Impl::close(ServerRequestId id)
{
    const auto it = m_busy.find(id);
    if (it == m_busy.end())
        return;
    const auto link = it->second;
    m_busy.erase(it);
    link->end();
    --m_count;
}

void ServerConnections::Impl::closeStaleOf(std::vector<LinkPtr>& idle, TimePoint now)
{
    m_count -= std::erase_if(idle, [&](const LinkPtr& link) {
        if (!link->isStale(now))
            return false;
        link->end();
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

void ServerConnections::Impl::keep(const ServerKey& key, const LinkPtr& link)
{
    m_idle[key].push_back(link);
}

void ServerConnections::Impl::drop(const ServerKey& key, const Link* link)
{
    --m_count;
    const auto it = m_idle.find(key);
    if (it != m_idle.end())
        std::erase_if(it->second, [&](const LinkPtr& other) { return other.get() == link; });
}

ServerConnections::ServerConnections(
    const boost::asio::any_io_executor& executor, const Clock& clock, const ServerProtocol& protocol, ServerSendEvents& events, Metrics& metrics)
    : m_impl(std::make_shared<Impl>(executor, clock, protocol, events, metrics))
{
}

ServerConnections::~ServerConnections() = default;

void ServerConnections::send(const SendServerRequest& send)
{
    m_impl->send(send);
}

void ServerConnections::close(ServerRequestId id)
{
    m_impl->close(id);
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
