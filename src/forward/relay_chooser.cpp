#include "forward/relay_chooser.h"

#include <algorithm>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// For fewer shards the message to another instance saves too little.
constexpr std::size_t leastShards = 3;
/// A confirmation is late after so many usual round trips, within the bounds.
constexpr int lateRoundTrips = 3;
constexpr Duration leastReceiptTimeout = 25ms;
constexpr Duration defaultReceiptTimeout = 60ms;
constexpr Duration defaultWayBack = 5ms;
constexpr Duration firstAvoidance = 500ms;
constexpr std::uint32_t mostDoublings = 4;
constexpr Duration declinedAvoidance = 1s;
constexpr int newRoundTripPart = 8; ///< One part in so many of the average is the newest.

}

RelayChooser::RelayChooser(InstanceName self)
    : m_self(std::move(self))
{
}

void RelayChooser::onPeers(const std::vector<Instance>& instances)
{
    std::map<InstanceName, Peer> peers;
    for (const auto& it : instances) {
        if (it.name == m_self)
            continue;
        const auto known = m_peers.find(it.name);
        const bool isSameLife = known != m_peers.end() && known->second.life == it.life;
        peers[it.name] = isSameLife ? known->second : Peer { it.zone, it.life, {}, {}, 0 };
    }
    m_peers = std::move(peers);
}

std::vector<ZoneName> RelayChooser::zones() const
{
    std::vector<ZoneName> zones;
    for (const auto& [name, peer] : m_peers) {
        if (std::find(zones.begin(), zones.end(), peer.zone) == zones.end())
            zones.push_back(peer.zone);
    }
    return zones;
}

std::optional<RelayChoice> RelayChooser::choose(const std::vector<ZoneCoverage>& coverage, TimePoint now)
{
    std::size_t most = leastShards;
    for (const auto& it : coverage)
        most = std::max(most, it.shards);
    std::vector<RelayChoice> candidates;
    for (const auto& it : coverage) {
        for (const auto& [name, peer] : m_peers) {
            if (it.shards == most && peer.zone == it.zone && now >= peer.avoidUntil)
                candidates.push_back({ name, it.zone });
        }
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_turn++ % candidates.size()];
}

void RelayChooser::noteReceipt(const InstanceName& name, Duration roundTrip)
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end())
        return;
    auto& peer = it->second;
    peer.silences = 0;
    peer.roundTrip = peer.roundTrip == Duration {} ? roundTrip : peer.roundTrip + (roundTrip - peer.roundTrip) / newRoundTripPart;
}

void RelayChooser::noteSilence(const InstanceName& name, TimePoint now)
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end())
        return;
    it->second.avoidUntil = now + firstAvoidance * (1 << std::min(it->second.silences, mostDoublings));
    ++it->second.silences;
}

void RelayChooser::noteDeclined(const InstanceName& name, TimePoint now)
{
    const auto it = m_peers.find(name);
    if (it != m_peers.end())
        it->second.avoidUntil = now + declinedAvoidance;
}

Duration RelayChooser::receiptTimeout(const InstanceName& name) const
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end() || it->second.roundTrip == Duration {})
        return defaultReceiptTimeout;
    return std::clamp(lateRoundTrips * it->second.roundTrip, leastReceiptTimeout, defaultReceiptTimeout);
}

Duration RelayChooser::wayBack(const InstanceName& name) const
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end() || it->second.roundTrip == Duration {})
        return defaultWayBack;
    return it->second.roundTrip / 2;
}

}
