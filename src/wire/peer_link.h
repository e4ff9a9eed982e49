#pragma once

#include "base/random_source.h"
#include "membership/view.h"
#include "wire/frame_session.h"
#include "wire/peer_network.h"
#include "wire/peer_route.h"

#include <functional>
#include <memory>
#include <optional>

namespace lycheefield {

/// What the connections of one process have in common.
struct PeerContext {
    boost::asio::io_context& io;
    Hello self;
    std::shared_ptr<const Clock> clock;
    std::shared_ptr<WireCounters> counters;
    FrameSessionLimits limits;
    std::optional<Endpoint> crossZoneGateway; ///< Peers in other zones are dialled through it.
};

/// The connection that this process keeps open to one peer, on demand, with backoff between tries.
///
/// While it connects, messages wait; when it can't connect they come back through onUndelivered.
/// Public methods are thread safe.
class PeerLink : public FrameSessionEvents, public std::enable_shared_from_this<PeerLink> {
public:
    /// Where the peer is now; empty when the view doesn't know it.
    using Locate = std::function<std::optional<PeerRoute>()>;

    /// Precondition: the handler outlives the link.
    PeerLink(PeerContext, InstanceName peer, Locate, PeerHandler&);

    void send(PeerMessage);
    /// Ends the connection and the tries to open one.
    void close();

    bool onHello(FrameSession&, const Hello&) override;
    void onMessage(FrameSession&, PeerMessage) override;
    void onClosed(FrameSession&, std::vector<PeerMessage> unsent) override;

private:
    enum class State : std::uint8_t {
        Idle,
        Connecting,
        Up,
        Backoff,
    };

    void deliver(PeerMessage);
    void connect();
    void onFirstHop(const PeerRoute&, const boost::system::error_code&);
    void onConnected(const boost::system::error_code&);
    void giveUp();
    void backOff();
    void returnAll(std::vector<PeerMessage>);

    PeerContext m_context;
    InstanceName m_peer;
    Locate m_locate;
    PeerHandler& m_handler;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    std::optional<boost::asio::ip::tcp::socket> m_connecting;
    std::shared_ptr<FrameSession> m_session;
    std::vector<PeerMessage> m_waiting;
    SeededRandom m_random;
    Duration m_backoff;
    State m_state = State::Idle;
    bool m_closed = false;
};

}
