#pragma once

#include "base/accept_loop.h"
#include "wire/peer_link.h"

#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace lycheefield {

/// Accepts connections from peers. Of those whose peer has not sent its Hello yet it holds few, and closes the oldest for a new one.
/// Public methods are thread safe.
class PeerServer : public FrameSessionEvents, public std::enable_shared_from_this<PeerServer> {
public:
    /// Precondition: the handler outlives the server.
    PeerServer(PeerContext, PeerHandler&);

    /// Listens on the endpoint; port 0 lets the kernel choose. Returns the bound endpoint. Call until it succeeds once.
    Result<Endpoint> listen(const Endpoint&);
    /// Returns the newest connection that the peer opened; null when there is none.
    std::shared_ptr<FrameSession> sessionOf(const InstanceName& peer);
    void close();

    bool onHello(FrameSession&, const Hello&) override;
    void onMessage(FrameSession&, PeerMessage) override;
    void onClosed(FrameSession&, std::vector<PeerMessage> unsent) override;

private:
    void add(boost::asio::ip::tcp::socket);

    PeerContext m_context;
    PeerHandler& m_handler;
    std::shared_ptr<AcceptLoop> m_acceptLoop;
    std::mutex m_mutex;
    std::map<InstanceName, std::shared_ptr<FrameSession>> m_sessionByPeer;
    std::set<std::shared_ptr<FrameSession>> m_sessions;
    std::list<std::shared_ptr<FrameSession>> m_withoutHello; ///< The oldest first.
    bool m_closed = false;
};

}
