#pragma once

#include "daemon/peer_ports.h"
#include "wire/peer_network.h"

#include <functional>

namespace lycheefield {

class EntryDriver;
class RelayDriver;

/// Passes messages between the roles of this process and those of its peers. The roles of this
/// process call each other directly, without the wire. Thread safe once connected.
class PeerRouter final : public PeerHandler, public RelayPort, public EntryPort {
public:
    /// Gets messages that concern neither legs nor servers.
    using OtherHandler = std::function<void(const Hello& from, PeerMessage)>;
    /// The link to a peer broke; what it was asked may have reached it.
    using LinkLostHandler = std::function<void(const InstanceName&)>;
    /// No byte of the call left.
    using UndeliveredClaimHandler = std::function<void(const ClaimCall&)>;

    explicit PeerRouter(InstanceName self)
        : m_self(std::move(self))
    {
    }

    /// Call it once, before the first message. All outlive the router's use.
    void connect(EntryDriver&, RelayDriver&, PeerNetwork&, OtherHandler);

    /// Call it once, before the first message.
    void connectClaims(LinkLostHandler onLinkLost, UndeliveredClaimHandler onUndelivered);

    void sendWork(const InstanceName& relay, WorkOrder) override;
    void sendCancel(const InstanceName& relay, const LegKey&) override;
    void returnResult(const InstanceName& entry, LegResult) override;
    void announceServer(const ServerState&) override;
    void announceCrash(const AnnounceCrash&) override;

    void onPeerMessage(const Hello& from, PeerMessage) override;
    void onLinkLost(const InstanceName&) override;
    void onUndelivered(const InstanceName& to, PeerMessage) override;
    void onPeerGone(const InstanceName&) override;

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
