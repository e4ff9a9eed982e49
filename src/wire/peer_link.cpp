#include "wire/peer_link.h"

#include "wire/gateway_handshake.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lycheefield {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration firstBackoff = std::chrono::milliseconds(20);
constexpr Duration longestBackoff = std::chrono::seconds(2);

}

PeerLink::PeerLink(PeerContext context, InstanceName peer, Locate locate, PeerHandler& handler)
    : m_context(std::move(context))
    , m_peer(std::move(peer))
    , m_locate(std::move(locate))
    , m_handler(handler)
    , m_strand(boost::asio::make_strand(m_context.io))
    , m_timer(m_strand)
    , m_random(systemSeed())
    , m_backoff(firstBackoff)
{
}

void PeerLink::send(PeerMessage message)
{
    boost::asio::post(m_strand, [self = shared_from_this(), message = std::move(message)]() mutable { self->deliver(std::move(message)); });
}

void PeerLink::close()
{
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->m_closed = true;
        self->m_timer.cancel();
        self->m_connecting.reset();
        if (self->m_session)
            self->m_session->close();
        self->giveUp();
    });
}

void PeerLink::deliver(PeerMessage message)
{
    if (m_state == State::Up) {
        m_session->send(std::move(message));
        return;
    }
    const bool isFull = m_waiting.size() >= m_context.limits.maxQueuedMessages;
    if (m_closed || isFull || m_state == State::Backoff) {
        m_handler.onUndelivered(m_peer, std::move(message));
        return;
    }
    m_waiting.push_back(std::move(message));
    if (m_state == State::Idle)
        connect();
}

void PeerLink::connect()
{
    const auto route = m_locate();
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
    askGateway(*m_connecting, route.peer, [self = shared_from_this()](const boost::system::error_code& ec) { self->onConnected(ec); });
}

void PeerLink::onConnected(const boost::system::error_code& ec)
{
    m_timer.cancel();
    if (m_closed)
        return;
    if (ec || !m_connecting) {
        m_connecting.reset();
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
    m_state = State::Up;
    m_backoff = firstBackoff;
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
    returnAll(std::move(unsent));
    if (m_session.get() != &session)
        return;
    const bool wasUp = m_state == State::Up;
    m_session.reset();
    backOff();
    if (wasUp)
        m_handler.onLinkLost(m_peer);
}

void PeerLink::giveUp()
{
    auto waiting = std::move(m_waiting);
    m_waiting.clear();
    returnAll(std::move(waiting));
}

void PeerLink::backOff()
{
    m_state = State::Backoff;
    giveUp();
    if (m_closed)
        return;
    const auto jitter = Duration(m_random.below(static_cast<std::uint64_t>(m_backoff.count())));
    m_timer.expires_after(m_backoff / 2 + jitter);
    m_backoff = std::min(longestBackoff, m_backoff * 2);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && self->m_state == State::Backoff)
            self->m_state = State::Idle;
    });
}

void PeerLink::returnAll(std::vector<PeerMessage> messages)
{
    for (auto& it : messages)
        m_handler.onUndelivered(m_peer, std::move(it));
}

}
