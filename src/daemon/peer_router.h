#pragma once

#include "daemon/peer_ports.h"
#include "wire/peer_network.h"

#include <functional>

namespace lycheefield {

class EntryDriver;
class RelayDriver;

/// Routes messages between the roles of this process and the roles of its peers. Messages between roles of this
/// process are direct calls, without the wire. Thread safe once connected.
class PeerRouter final : public PeerHandler, public RelayPort, public EntryPort {
public:
    /// Receives messages that concern neither legs nor servers.
    using OtherHandler = std::function<void(const Hello& from, PeerMessage)>;
    /// Called when the link to a peer broke. Calls without a response may have reached the peer.
    using LinkLostHandler = std::function<void(const InstanceName&)>;
    /// Called when no byte of the call was sent.
    using UndeliveredClaimHandler = std::function<void(const ClaimCall&)>;

    explicit PeerRouter(InstanceName self)
        : m_self(std::move(self))
    {
    }

    /// Sets the roles and the network. To be called once, before the first message. All outlive the use of the router.
    void connect(EntryDriver&, RelayDriver&, PeerNetwork&, OtherHandler);

    /// Sets the handlers of claims. To be called once, before the first message.
    void connectClaims(LinkLostHandler onLinkLost, UndeliveredClaimHandler onUndelivered);

    void sendWork(const InstanceName& relay, WorkOrder) override;
    void sendCancel(const InstanceName& relay, const LegKey&) override;
    void returnResult(const InstanceName& entry, LegResult) override;
    void announceServer(const ServerState&) override;
    void announceCrash(const AnnounceCrash&) override;

    void onPeerMessage(const Hello& from, PeerMessage) override;
    void onLinkLost(const InstanceName&) override;
    void onUndelivered(const InstanceName& to, PeerMessage, UndeliveredReason) override;
    void onPeerDisconnected(const InstanceName&) override;

private:
    InstanceName m_self;
    EntryDriver* m_entry = nullptr;
    RelayDriver* m_relay = nullptr;
    PeerNetwork* m_network = nullptr;
    OtherHandler m_other;
    LinkLostHandler m_claimLinkLost;
    UndeliveredClaimHandler m_undeliveredClaim;
};

}
