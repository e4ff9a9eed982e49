#include "wire/peer_link.h"

#include "base/local_resources.h"
#include "wire/gateway_handshake.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lycheefield {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration initialBackoff = std::chrono::milliseconds(20);
constexpr Duration maxBackoff = std::chrono::seconds(2);
/// Pause after a connection that this process lacked the resources to open. They become free at any time, so the pause stays the same.
constexpr Duration localRetryDelay = std::chrono::milliseconds(50);

}

PeerLink::PeerLink(PeerContext context, InstanceName peer, RouteLookup findRoute, PeerHandler& handler)
    : m_context(std::move(context))
    , m_peer(std::move(peer))
    , m_findRoute(std::move(findRoute))
    , m_handler(handler)
    , m_strand(boost::asio::make_strand(m_context.io))
    , m_timer(m_strand)
    , m_random(systemSeed())
    , m_backoff(initialBackoff)
{
}

void PeerLink::send(PeerMessage message)
{
    boost::asio::post(m_strand, [self = shared_from_this(), message = std::move(message)]() mutable { self->sendOrQueue(std::move(message)); });
}

void PeerLink::close()
{
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->m_closed = true;
        self->m_timer.cancel();
        self->m_connecting.reset();
        if (self->m_session)
            self->m_session->close();
        self->returnWaiting(UndeliveredReason::NoConnection);
    });
}

void PeerLink::sendOrQueue(PeerMessage message)
{
    if (m_state == State::Connected) {
        m_session->send(std::move(message));
        return;
    }
    const bool isFull = m_waiting.size() >= m_context.limits.maxQueuedMessages;
    if (m_closed || isFull || m_state == State::Backoff) {
        const bool isPaused = !m_closed && m_state == State::Backoff;
        m_handler.onUndelivered(m_peer, std::move(message), isPaused ? m_pauseReason : UndeliveredReason::NoConnection);
        return;
    }
    m_waiting.push_back(std::move(message));
    if (m_state == State::Idle)
        connect();
}

void PeerLink::connect()
{
    const auto route = m_findRoute();
    boost::system::error_code ec;
    const auto address = route ? boost::asio::ip::make_address(route->firstHop().address, ec) : boost::asio::ip::address();
    if (!route || ec) {
        backOff();
        return;
    }
    m_state = State::Connecting;
    m_connecting.emplace(m_strand);
    m_connecting->async_connect({ address, route->firstHop().port }, [self = shared_from_this(), route](const boost::system::error_code& ec) { self->onFirstHop(*route, ec); });
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && self->m_state == State::Connecting && self->m_connecting) {
            boost::system::error_code ignored;
            self->m_connecting->close(ignored);
        }
    });
}

void PeerLink::onFirstHop(const PeerRoute& route, const boost::system::error_code& ec)
{
    if (ec || !route.gateway || m_closed || !m_connecting) {
        onConnected(ec);
        return;
    }
    boost::system::error_code ignored;
    m_connecting->set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    openGatewayTunnel(*m_connecting, route.peer, [self = shared_from_this()](const boost::system::error_code& ec) { self->onConnected(ec); });
}

void PeerLink::onConnected(const boost::system::error_code& ec)
{
    m_timer.cancel();
    if (m_closed)
        return;
    if (ec || !m_connecting) {
        m_connecting.reset();
        if (isLackOfResources(ec))
            pause(localRetryDelay, UndeliveredReason::NoLocalResources);
        else
            backOff();
        return;
    }
    m_session = std::make_shared<FrameSession>(
        std::move(*m_connecting), m_context.self, shared_from_this(), m_context.clock, m_context.counters, m_context.limits);
    m_connecting.reset();
    m_session->start();
}

bool PeerLink::onHello(FrameSession&, const Hello& hello)
{
    if (m_closed || hello.instance != m_peer)
        return false;
    m_state = State::Connected;
    m_backoff = initialBackoff;
    auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (auto& it : waiting)
        m_session->send(std::move(it));
    return true;
}

void PeerLink::onMessage(FrameSession& session, PeerMessage message)
{
    m_handler.onPeerMessage(*session.peer(), std::move(message));
}

void PeerLink::onClosed(FrameSession& session, std::vector<PeerMessage> unsent)
{
    std::erase_if(unsent, [](const PeerMessage& it) { return std::holds_alternative<Hello>(it); });
    reportUndelivered(std::move(unsent), UndeliveredReason::NoConnection);
    if (m_session.get() != &session)
        return;
    const bool wasConnected = m_state == State::Connected;
    m_session.reset();
    backOff();
    if (wasConnected)
        m_handler.onLinkLost(m_peer);
}

void PeerLink::returnWaiting(UndeliveredReason reason)
{
    auto waiting = std::move(m_waiting);
    m_waiting.clear();
    reportUndelivered(std::move(waiting), reason);
}

void PeerLink::backOff()
{
    pause(m_backoff, UndeliveredReason::NoConnection);
    m_backoff = std::min(maxBackoff, m_backoff * 2);
}

void PeerLink::pause(Duration mean, UndeliveredReason reason)
{
    m_state = State::Backoff;
    m_pauseReason = reason;
    returnWaiting(reason);
    if (m_closed)
        return;
    const auto jitter = Duration(m_random.below(static_cast<std::uint64_t>(mean.count())));
    m_timer.expires_after(mean / 2 + jitter);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && self->m_state == State::Backoff)
            self->m_state = State::Idle;
    });
}

void PeerLink::reportUndelivered(std::vector<PeerMessage> messages, UndeliveredReason reason)
{
    for (auto& it : messages)
        m_handler.onUndelivered(m_peer, std::move(it), reason);
}

}
