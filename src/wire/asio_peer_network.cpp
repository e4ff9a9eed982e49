#include "wire/asio_peer_network.h"

#include <mutex>

namespace lycheefield {

AsioPeerNetwork::AsioPeerNetwork(PeerContext context, const Snapshot<MembershipView>& view, PeerHandler& handler)
    : m_context(std::move(context))
    , m_view(view)
    , m_handler(handler)
    , m_server(std::make_shared<PeerServer>(m_context, handler))
{
}

AsioPeerNetwork::~AsioPeerNetwork() = default;

Result<Endpoint> AsioPeerNetwork::listen(const Endpoint& endpoint)
{
    return m_server->listen(endpoint);
}

std::shared_ptr<PeerLink> AsioPeerNetwork::linkTo(const InstanceName& peer)
{
    {
        const std::shared_lock lock(m_mutex);
        const auto it = m_links.find(peer);
        if (it != m_links.end())
            return it->second;
    }
    const std::unique_lock lock(m_mutex);
    auto& link = m_links[peer];
    if (!link) {
        const auto findRoute = [this, peer]() { return routeTo(peer); };
        link = std::make_shared<PeerLink>(m_context, peer, findRoute, m_handler);
    }
    return link;
}

std::optional<PeerRoute> AsioPeerNetwork::routeTo(const InstanceName& peer) const
{
    const auto view = m_view.read();
    const auto* instance = view->find(peer);
    if (!instance)
        return std::nullopt;
    PeerRoute route { instance->inner, std::nullopt };
    if (instance->zone != m_context.self.zone)
        route.gateway = m_context.crossZoneGateway;
    return route;
}

void AsioPeerNetwork::send(const InstanceName& to, PeerMessage message)
{
    linkTo(to)->send(std::move(message));
}

void AsioPeerNetwork::reply(const InstanceName& to, PeerMessage message)
{
    if (const auto session = m_server->sessionOf(to))
        session->send(std::move(message));
}

void AsioPeerNetwork::sendOnAnyConnection(const InstanceName& to, PeerMessage message)
{
    if (const auto session = m_server->sessionOf(to))
        session->send(std::move(message));
    else
        send(to, std::move(message));
}

void AsioPeerNetwork::broadcast(const PeerMessage& message)
{
    const auto view = m_view.read();
    for (const auto& [name, instance] : view->instances()) {
        if (name != m_context.self.instance && instance.health != InstanceHealth::Gone)
            send(name, message);
    }
}

void AsioPeerNetwork::drop(const InstanceName& peer)
{
    const std::unique_lock lock(m_mutex);
    const auto it = m_links.find(peer);
    if (it == m_links.end())
        return;
    it->second->close();
    m_links.erase(it);
}

void AsioPeerNetwork::closeLinksToRemovedPeers()
{
    const auto view = m_view.read();
    const std::unique_lock lock(m_mutex);
    for (auto it = m_links.begin(); it != m_links.end();) {
        const auto* instance = view->find(it->first);
        const bool isGone = !instance || instance->health == InstanceHealth::Gone;
        if (isGone)
            it->second->close();
        it = isGone ? m_links.erase(it) : std::next(it);
    }
}

void AsioPeerNetwork::close()
{
    m_server->close();
    const std::unique_lock lock(m_mutex);
    for (const auto& [name, link] : m_links)
        link->close();
    m_links.clear();
}

}
