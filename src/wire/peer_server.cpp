#include "wire/peer_server.h"

#include "base/listening_socket.h"

#include <boost/asio/post.hpp>

namespace lycheefield {

namespace {

/// Maximum number of incoming connections; every other instance opens one.
constexpr std::size_t maxPeerSessions = 2048;

}

PeerServer::PeerServer(PeerContext context, PeerHandler& handler)
    : m_context(std::move(context))
    , m_handler(handler)
    , m_acceptor(boost::asio::make_strand(m_context.io))
{
}

Result<Endpoint> PeerServer::listen(const Endpoint& endpoint)
{
    const auto local = listenOn(m_acceptor, endpoint, "inner address");
    if (local)
        accept();
    return local;
}

void PeerServer::accept()
{
    m_acceptor.async_accept(boost::asio::make_strand(m_context.io),
        [self = shared_from_this()](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) { self->onAccepted(ec, std::move(socket)); });
}

void PeerServer::onAccepted(const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket)
{
    if (ec == boost::asio::error::operation_aborted || !m_acceptor.is_open())
        return;
    if (!ec) {
        auto session = std::make_shared<FrameSession>(
            std::move(socket), m_context.self, shared_from_this(), m_context.clock, m_context.counters, m_context.limits);
        const std::lock_guard lock(m_mutex);
        if (m_sessions.size() < maxPeerSessions) {
            m_sessions.insert(session);
            session->start();
        }
    }
    accept();
}

void PeerServer::reply(const InstanceName& to, PeerMessage message)
{
    std::shared_ptr<FrameSession> session;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_sessionByPeer.find(to);
        if (it == m_sessionByPeer.end())
            return;
        session = it->second;
    }
    session->send(std::move(message));
}

void PeerServer::close()
{
    boost::asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ec;
        self->m_acceptor.close(ec);
    });
    const std::lock_guard lock(m_mutex);
    for (const auto& it : m_sessions)
        it->close();
}

bool PeerServer::onHello(FrameSession& session, const Hello& hello)
{
    std::shared_ptr<FrameSession> replacedSession;
    {
        const std::lock_guard lock(m_mutex);
        auto& current = m_sessionByPeer[hello.instance];
        replacedSession = std::move(current);
        current = session.shared_from_this();
    }
    if (replacedSession) {
        replacedSession->close();
        m_handler.onPeerDisconnected(hello.instance);
    }
    return true;
}

void PeerServer::onMessage(FrameSession& session, PeerMessage message)
{
    m_handler.onPeerMessage(*session.peer(), std::move(message));
}

void PeerServer::onClosed(FrameSession& session, std::vector<PeerMessage>)
{
    const auto self = session.shared_from_this();
    bool wasCurrent = false;
    {
        const std::lock_guard lock(m_mutex);
        m_sessions.erase(self);
        if (session.peer()) {
            const auto it = m_sessionByPeer.find(session.peer()->instance);
            wasCurrent = it != m_sessionByPeer.end() && it->second == self;
            if (wasCurrent)
                m_sessionByPeer.erase(it);
        }
    }
    if (wasCurrent)
        m_handler.onPeerDisconnected(session.peer()->instance);
}

}
