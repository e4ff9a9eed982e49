#include "daemon/peer_router.h"

#include "daemon/entry_driver.h"
#include "daemon/relay_driver.h"

#include <algorithm>

namespace lycheefield {

namespace {

CrashNews newsOf(const AnnounceCrash& crash)
{
    // A relay counts every lost leg, and one crash loses many.
    return { crash.fingerprint, std::min(crash.crashes, 1U), crash.quarantine, crash.location.server };
}

}

void PeerRouter::connect(EntryDriver& entry, RelayDriver& relay, PeerNetwork& network, OtherHandler other)
{
    m_entry = &entry;
    m_relay = &relay;
    m_network = &network;
    m_other = std::move(other);
}

void PeerRouter::connectClaims(LinkLostHandler onLinkLost, UndeliveredClaimHandler onUndelivered)
{
    m_claimLinkLost = std::move(onLinkLost);
    m_undeliveredClaim = std::move(onUndelivered);
}

void PeerRouter::sendWork(const InstanceName& relay, WorkOrder work)
{
    if (relay == m_self)
        m_relay->onWork(work);
    else
        m_network->send(relay, std::move(work));
}

void PeerRouter::sendCancel(const InstanceName& relay, const LegKey& key)
{
    if (relay == m_self)
        m_relay->onCancel(key);
    else
        m_network->send(relay, CancelLeg { key });
}

void PeerRouter::returnResult(const InstanceName& entry, LegResult result)
{
    if (entry == m_self) {
        m_entry->onLegResult(std::move(result));
        return;
    }
    LegResults message;
    message.results.push_back(std::move(result));
    m_network->reply(entry, std::move(message));
}

void PeerRouter::announceServer(const ServerState& state)
{
    m_entry->onServerState(state);
    m_network->broadcast(ServerStateUpdate { { state } });
}

void PeerRouter::announceCrash(const AnnounceCrash& news)
{
    m_relay->onCrashAnnounced(news);
    m_entry->onCrashAnnounced(newsOf(news));
    m_network->broadcast(news);
}

void PeerRouter::onPeerMessage(const Hello& from, PeerMessage message)
{
    if (auto* work = std::get_if<WorkOrder>(&message)) {
        // Results go to the peer that sent the order, whatever name the order gives as its entry.
        work->entry = from.instance;
        m_relay->onWork(*work);
    } else if (const auto* cancel = std::get_if<CancelLeg>(&message)) {
        m_relay->onCancel(cancel->key);
    } else if (auto* results = std::get_if<LegResults>(&message)) {
        for (auto& it : results->results)
            m_entry->onLegResult(std::move(it));
    } else if (const auto* news = std::get_if<ServerStateUpdate>(&message)) {
        for (const auto& it : news->servers) {
            m_entry->onServerState(it);
            m_relay->onServerAnnounced(it);
        }
    } else if (const auto* crash = std::get_if<AnnounceCrash>(&message)) {
        m_relay->onCrashAnnounced(*crash);
        m_entry->onCrashAnnounced(newsOf(*crash));
    } else {
        m_other(from, std::move(message));
    }
}

void PeerRouter::onLinkLost(const InstanceName& peer)
{
    m_entry->onRelayDisconnected(peer);
    if (m_claimLinkLost)
        m_claimLinkLost(peer);
}

void PeerRouter::onUndelivered(const InstanceName& to, PeerMessage message, UndeliveredReason)
{
    if (const auto* call = std::get_if<ClaimCall>(&message); call && m_undeliveredClaim)
        m_undeliveredClaim(*call);
    const auto* work = std::get_if<WorkOrder>(&message);
    if (!work)
        return;
    for (const auto& it : work->legs)
        m_entry->onLegResult(notHeldResult(*work, it, "no connection to relay " + to.value()));
}

void PeerRouter::onPeerDisconnected(const InstanceName& peer)
{
    m_relay->onEntryDisconnected(peer);
}

}
