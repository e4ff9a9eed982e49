#include "wire/peer_server.h"

#include "base/local_resources.h"

#include <utility>

namespace lycheefield {

namespace {

/// Maximum number of incoming connections; every other instance opens one.
constexpr std::size_t maxPeerSessions = 2048;
/// Maximum number of incoming connections whose peer has not sent its Hello, which a peer sends as soon as it is connected.
constexpr std::size_t sessionsWithoutHelloDivisor = 16;

}

PeerServer::PeerServer(PeerContext context, PeerHandler& handler)
    : m_context(std::move(context))
    , m_handler(handler)
    , m_acceptLoop(std::make_shared<AcceptLoop>(m_context.io))
{
}

Result<Endpoint> PeerServer::listen(const Endpoint& endpoint)
{
    return m_acceptLoop->listen(endpoint, "inner address", [self = shared_from_this()](boost::asio::ip::tcp::socket socket) { self->add(std::move(socket)); });
}

void PeerServer::add(boost::asio::ip::tcp::socket socket)
{
    auto session = std::make_shared<FrameSession>(
        std::move(socket), m_context.self, shared_from_this(), m_context.clock, m_context.counters, m_context.limits);
    const std::lock_guard lock(m_mutex);
    if (m_sessions.size() >= maxPeerSessions)
        return;
    m_sessions.insert(session);
    m_withoutHello.push_back(session);
    if (m_withoutHello.size() > shareOfDescriptors(sessionsWithoutHelloDivisor, maxPeerSessions)) {
        m_withoutHello.front()->close();
        m_withoutHello.pop_front();
    }
    session->start();
}

std::shared_ptr<FrameSession> PeerServer::sessionOf(const InstanceName& peer)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_sessionByPeer.find(peer);
    return it == m_sessionByPeer.end() ? nullptr : it->second;
}

void PeerServer::close()
{
    m_acceptLoop->close();
    const std::lock_guard lock(m_mutex);
    for (const auto& it : m_sessions)
        it->close();
}

bool PeerServer::onHello(FrameSession& session, const Hello& hello)
{
    std::shared_ptr<FrameSession> replacedSession;
    {
        const std::lock_guard lock(m_mutex);
        m_withoutHello.remove(session.shared_from_this());
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
        m_withoutHello.remove(self);
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
