#include "forward/limit_sharing.h"

#include "base/fingerprint.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheefield {

namespace {

/// Share of the limit that all instances have together, whether they usually send to the server or not.
constexpr double commonShare = 0.1;
/// Requests per second of all instances together that a server gets even when it allows fewer, since only a response
/// tells when the limit ends.
constexpr double minCommonRate = 0.25;
/// Senders in addition to one for each request per second.
constexpr double extraSenders = 4;
/// The burst of all instances together, as the time in which the limit allows so many requests.
constexpr double burstSeconds = 0.5;
/// Number of instances assumed while the fleet is unknown.
constexpr double unknownFleetSize = 32;
/// Time within which all others have listed a new instance.
constexpr Duration countedWithin = std::chrono::seconds(15);
constexpr double startingFactor = 0.5;

/// Returns n of the names, which are the same at each instance and differ between servers.
std::vector<InstanceName> draw(const std::vector<InstanceName>& names, const ServerName& server, std::size_t n)
{
    std::vector<std::pair<std::uint64_t, InstanceName>> ranked;
    for (const auto& it : names)
        ranked.emplace_back(stableHash(it.value(), stableHash(server.value())), it);
    std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end());
    std::vector<InstanceName> drawn;
    for (std::size_t i = 0; i < n; ++i)
        drawn.push_back(ranked[i].second);
    return drawn;
}

}

LimitSharing::LimitSharing(InstanceName self, ZoneName zone)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

void LimitSharing::setInstances(const std::vector<Instance>& instances, TimePoint now)
{
    if (m_knownSince == never)
        m_knownSince = now;
    m_instances.clear();
    for (const auto& it : instances) {
        if (it.name != m_self)
            m_instances.emplace_back(it.name, it.zone);
    }
    m_instances.emplace_back(m_self, m_zone);
}

bool LimitSharing::isStarting(TimePoint now) const
{
    return m_knownSince == never || now < m_knownSince + countedWithin;
}

TimePoint LimitSharing::nextChange(TimePoint now) const
{
    return m_knownSince != never && isStarting(now) ? m_knownSince + countedWithin : never;
}

std::vector<InstanceName> LimitSharing::senders(const ServerEntry& server, const ServiceReach& reach) const
{
    const bool hasInstancesInZone = std::any_of(m_instances.begin(), m_instances.end(), [&](const auto& it) { return it.second == server.zone; });
    std::vector<InstanceName> names;
    for (const auto& [name, zone] : m_instances) {
        const bool isRemoteSender = reach.isDirect && !reach.zones.contains(zone);
        if (zone == server.zone || isRemoteSender || !hasInstancesInZone)
            names.push_back(name);
    }
    return names;
}

RateShare LimitSharing::shareOf(const ServerEntry& server, double limit, const ServiceReach& reach, TimePoint now) const
{
    const auto instances = m_instances.empty() ? unknownFleetSize : static_cast<double>(m_instances.size());
    RateShare share { std::max(minCommonRate, commonShare * limit) / instances, 1, true };
    auto names = senders(server, reach);
    const auto maxSenders = static_cast<std::size_t>(limit + extraSenders);
    if (names.size() > maxSenders)
        names = draw(names, server.name, maxSenders);
    if (std::find(names.begin(), names.end(), m_self) != names.end()) {
        const auto n = static_cast<double>(names.size());
        share.perSecond += (1 - commonShare) * limit / n;
        share.burst = std::max(1.0, burstSeconds * limit / n);
        share.expires = false;
    }
    if (isStarting(now))
        share.perSecond *= startingFactor;
    return share;
}

}
