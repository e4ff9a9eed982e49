#pragma once

#include "base/ids.h"
#include "wire/peer_message.h"

#include <cstdint>

namespace lycheefield {

/// Why a message could not be sent.
enum class UndeliveredReason : std::uint8_t {
    NoConnection, ///< The peer is unknown or can't be reached, the connection was lost, or too many messages waited for it.
    NoLocalResources, ///< This process had no descriptor, port or memory for a connection, which says nothing about the peer.
};

/// Handles messages and connection events of peers. Methods are called on any thread and must not block.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    /// Called for each message of a peer that has identified itself.
    virtual void onPeerMessage(const Hello& from, PeerMessage) = 0;
    /// Called when the connection that this process opened to the peer has closed; messages already sent
    /// may be lost.
    virtual void onLinkLost(const InstanceName&) = 0;
    /// Called for each message that could not be sent; no byte of it was written to a socket.
    virtual void onUndelivered(const InstanceName& to, PeerMessage, UndeliveredReason) = 0;
    /// Called when the newest connection that the peer opened to this process has closed, or a newer one
    /// has replaced it.
    virtual void onPeerDisconnected(const InstanceName&) = 0;
};

/// Sends messages to other instances. Thread safe; calls return at once.
class PeerNetwork {
public:
    virtual ~PeerNetwork() = default;
    /// Sends over the connection that this process opens to the peer on first use.
    virtual void send(const InstanceName& to, PeerMessage) = 0;
    /// Sends over the newest connection that the peer opened; drops the message when there is none.
    virtual void reply(const InstanceName& to, PeerMessage) = 0;
    /// Sends to every other instance in the view that is not gone.
    virtual void broadcast(const PeerMessage&) = 0;
};

}
