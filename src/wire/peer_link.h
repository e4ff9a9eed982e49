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

/// Context shared by all peer connections of one process.
struct PeerContext {
    boost::asio::io_context& io;
    Hello self;
    std::shared_ptr<const Clock> clock;
    std::shared_ptr<WireCounters> counters;
    FrameSessionLimits limits;
    std::optional<Endpoint> crossZoneGateway; ///< Connections to peers in other zones go through this gateway.
};

/// The outgoing connection to one peer, opened on demand, with exponential back-off after failures. A connection that
/// this process lacked the descriptors, ports or memory to open is no failure of the peer, and the pause after it doesn't grow.
///
/// Messages wait while the link connects. A message is returned through PeerHandler::onUndelivered if the
/// connection fails before any byte of the message was written, the queue is full, the link backs off or the
/// link is closed. Methods send and close are thread safe; the session calls the others on the link's strand,
/// where the link calls the handler and the route lookup.
class PeerLink : public FrameSessionEvents, public std::enable_shared_from_this<PeerLink> {
public:
    /// Returns the current route to the peer; empty when the peer is not in the view.
    using RouteLookup = std::function<std::optional<PeerRoute>()>;

    /// Precondition: the handler outlives the link.
    PeerLink(PeerContext, InstanceName peer, RouteLookup, PeerHandler&);

    void send(PeerMessage);
    /// Closes the connection and stops connecting; waiting messages are returned through onUndelivered.
    void close();

    bool onHello(FrameSession&, const Hello&) override;
    void onMessage(FrameSession&, PeerMessage) override;
    void onClosed(FrameSession&, std::vector<PeerMessage> unsent) override;

private:
    enum class State : std::uint8_t {
        Idle,
        Connecting,
        Connected,
        Backoff,
    };

    void sendOrQueue(PeerMessage);
    void connect();
    void onFirstHop(const PeerRoute&, const boost::system::error_code&);
    void onConnected(const boost::system::error_code&);
    void returnWaiting(UndeliveredReason);
    void backOff();
    /// Returns the waiting messages and opens no connection for a time around the mean.
    void pause(Duration mean, UndeliveredReason);
    void reportUndelivered(std::vector<PeerMessage>, UndeliveredReason);

    PeerContext m_context;
    InstanceName m_peer;
    RouteLookup m_findRoute;
    PeerHandler& m_handler;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    std::optional<boost::asio::ip::tcp::socket> m_connecting;
    std::shared_ptr<FrameSession> m_session;
    std::vector<PeerMessage> m_waiting;
    SeededRandom m_random;
    Duration m_backoff;
    State m_state = State::Idle;
    UndeliveredReason m_pauseReason = UndeliveredReason::NoConnection; ///< In the state Backoff.
    bool m_closed = false;
};

}
