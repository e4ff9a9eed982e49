#pragma once

#include "base/snapshot.h"
#include "wire/peer_link.h"
#include "wire/peer_server.h"

#include <map>
#include <memory>
#include <shared_mutex>

namespace lycheefield {

/// PeerNetwork over TCP: one outgoing link to each peer that this process sends to, and one server for
/// incoming connections.
class AsioPeerNetwork final : public PeerNetwork {
public:
    /// Precondition: the view and the handler outlive the network.
    AsioPeerNetwork(PeerContext, const Snapshot<MembershipView>&, PeerHandler&);
    ~AsioPeerNetwork() override;
    AsioPeerNetwork(const AsioPeerNetwork&) = delete;
    AsioPeerNetwork& operator=(const AsioPeerNetwork&) = delete;

    /// Listens for peers; port 0 lets the kernel choose. Returns the bound endpoint. Call once.
    Result<Endpoint> listen(const Endpoint&);
    void send(const InstanceName& to, PeerMessage) override;
    void reply(const InstanceName& to, PeerMessage) override;
    /// Sends over the newest connection that the peer opened; without one like send().
    void sendOnAnyConnection(const InstanceName& to, PeerMessage);
    void broadcast(const PeerMessage&) override;
    /// Closes the link to a peer that does not respond; the next message opens a new link.
    void drop(const InstanceName&);
    /// Closes the links to instances that are gone or no longer in the view. Call when the view changes.
    void closeLinksToRemovedPeers();
    void close();

private:
    std::shared_ptr<PeerLink> linkTo(const InstanceName&);
    std::optional<PeerRoute> routeTo(const InstanceName&) const;

    PeerContext m_context;
    const Snapshot<MembershipView>& m_view;
    PeerHandler& m_handler;
    std::shared_ptr<PeerServer> m_server;
    std::shared_mutex m_mutex;
    std::map<InstanceName, std::shared_ptr<PeerLink>> m_links;
};

}
