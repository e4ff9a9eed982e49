#pragma once

#include "base/ids.h"
#include "wire/peer_message.h"

namespace lycheefield {

/// What a daemon does with messages of its peers. Calls come on any thread; they must not block.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    /// A message of a peer that has said who it is.
    virtual void onPeerMessage(const Hello& from, PeerMessage) = 0;
    /// The connection that this process opened to the peer broke: what was sent may be lost.
    virtual void onLinkLost(const InstanceName&) = 0;
    /// No byte of this message was handed to a connection.
    virtual void onUndelivered(const InstanceName& to, PeerMessage) = 0;
    /// The last connection that the peer opened to this process ended.
    virtual void onPeerGone(const InstanceName&) = 0;
};

/// Sends messages to other instances. Thread safe; calls return at once.
class PeerNetwork {
public:
    virtual ~PeerNetwork() = default;
    /// Over the connection that this process opens to the peer, on first use.
    virtual void send(const InstanceName& to, PeerMessage) = 0;
    /// Over the connection that the peer opened; dropped when there is none any more.
    virtual void reply(const InstanceName& to, PeerMessage) = 0;
    /// To every instance in the view that has not gone.
    virtual void broadcast(const PeerMessage&) = 0;
};

}
