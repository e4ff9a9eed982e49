#include "forward/delegate_chooser.h"

#include "base/fingerprint.h"
#include "membership/rendezvous.h"

#include <algorithm>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// The confirmation time-out is this multiple of the average round trip, between the minimum and the default below.
constexpr int confirmationTimeoutRoundTrips = 3;
constexpr Duration minConfirmationTimeout = 25ms;
constexpr Duration defaultConfirmationTimeout = 60ms;
constexpr Duration defaultReturnTime = 5ms;
constexpr Duration initialBackoff = 500ms;
constexpr std::uint32_t maxDoublings = 4;
constexpr Duration declineBackoff = 1s;
constexpr int roundTripSmoothing = 8; ///< Reciprocal of the newest sample's weight in the moving average.
/// Each group is shared by at least two instances, so that it survives the loss of one.
constexpr std::size_t minInstancesPerGroup = 2;
constexpr std::size_t maxGroups = 1024;

}

DelegateChooser::DelegateChooser(InstanceName self, ZoneName zone)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

void DelegateChooser::onPeers(const std::vector<Instance>& instances)
{
    std::map<InstanceName, Peer> peers;
    for (const auto& it : instances) {
        if (it.name == m_self) {
            m_ownCores = it.cores;
            continue;
        }
        const auto known = m_peers.find(it.name);
        const bool isSameLife = known != m_peers.end() && known->second.life == it.life;
        peers[it.name] = isSameLife ? known->second : Peer { it.zone, it.life, it.cores, {}, {}, 0 };
    }
    m_peers = std::move(peers);
    m_ranked.clear();
}

std::vector<ZoneName> DelegateChooser::zones() const
{
    std::vector<ZoneName> zones;
    for (const auto& [name, peer] : m_peers) {
        if (std::find(zones.begin(), zones.end(), peer.zone) == zones.end())
            zones.push_back(peer.zone);
    }
    return zones;
}

Duration DelegateChooser::networkTimeTo(const ZoneName& zone) const
{
    Duration shortest {};
    for (const auto& [name, peer] : m_peers) {
        const bool isKnown = peer.zone == zone && peer.roundTrip > Duration {};
        if (isKnown && (shortest == Duration {} || peer.roundTrip < shortest))
            shortest = peer.roundTrip;
    }
    return shortest;
}

std::optional<DelegateChoice> DelegateChooser::choose(const std::vector<ZoneCoverage>& coverage, TimePoint now)
{
    std::size_t maxShards = minShards;
    for (const auto& it : coverage)
        maxShards = std::max(maxShards, it.shards);
    std::vector<DelegateChoice> candidates;
    for (const auto& it : coverage) {
        for (const auto& [name, peer] : m_peers) {
            if (it.shards == maxShards && peer.zone == it.zone && now >= peer.avoidUntil)
                candidates.push_back({ name, it.zone });
        }
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_turn++ % candidates.size()];
}

const std::vector<InstanceName>& DelegateChooser::rankedFor(const ZoneName& zone, const LegGroup& group)
{
    const auto [it, isNew] = m_ranked.try_emplace({ zone, group });
    if (!isNew)
        return it->second;
    const auto seed = stableHash(zone.value(), group.index * maxGroups + group.count);
    std::vector<std::pair<double, InstanceName>> scored;
    const auto add = [&](const InstanceName& name, double cores) { scored.emplace_back(rendezvousScore(stableHash(name.value(), seed), cores * cores), name); };
    for (const auto& [name, peer] : m_peers) {
        if (peer.zone == zone)
            add(name, peer.cores);
    }
    if (zone == m_zone)
        add(m_self, m_ownCores);
    std::sort(scored.rbegin(), scored.rend());
    for (auto& [score, name] : scored)
        it->second.push_back(std::move(name));
    return it->second;
}

bool DelegateChooser::mayDelegateTo(const InstanceName& name, TimePoint now) const
{
    if (name == m_self)
        return true;
    const auto it = m_peers.find(name);
    return it != m_peers.end() && now >= it->second.avoidUntil;
}

std::optional<InstanceName> DelegateChooser::instanceFor(const ZoneName& zone, const LegGroup& group, TimePoint now)
{
    const auto& ranked = rankedFor(zone, group);
    const auto groupSize = std::min(ranked.size(), std::max<std::size_t>(minInstancesPerGroup, (ranked.size() + group.count - 1) / group.count));
    const auto turn = m_turn++;
    for (std::size_t i = 0; i < groupSize; ++i) {
        const auto& name = ranked[(turn + i) % groupSize];
        if (mayDelegateTo(name, now))
            return name;
    }
    const auto it = std::find_if(ranked.begin(), ranked.end(), [&](const auto& name) { return mayDelegateTo(name, now); });
    return it == ranked.end() ? std::nullopt : std::optional(*it);
}

void DelegateChooser::recordConfirmation(const InstanceName& name, Duration roundTrip)
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end())
        return;
    auto& peer = it->second;
    peer.missedConfirmations = 0;
    peer.roundTrip = peer.roundTrip == Duration {} ? roundTrip : peer.roundTrip + (roundTrip - peer.roundTrip) / roundTripSmoothing;
}

void DelegateChooser::recordNoConfirmation(const InstanceName& name, TimePoint now)
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end())
        return;
    it->second.avoidUntil = now + initialBackoff * (1 << std::min(it->second.missedConfirmations, maxDoublings));
    ++it->second.missedConfirmations;
}

void DelegateChooser::recordDecline(const InstanceName& name, TimePoint now)
{
    const auto it = m_peers.find(name);
    if (it != m_peers.end())
        it->second.avoidUntil = now + declineBackoff;
}

Duration DelegateChooser::confirmationTimeout(const InstanceName& name) const
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end() || it->second.roundTrip == Duration {})
        return defaultConfirmationTimeout;
    return std::clamp(confirmationTimeoutRoundTrips * it->second.roundTrip, minConfirmationTimeout, defaultConfirmationTimeout);
}

Duration DelegateChooser::returnTime(const InstanceName& name) const
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end() || it->second.roundTrip == Duration {})
        return defaultReturnTime;
    return it->second.roundTrip / 2;
}

}
