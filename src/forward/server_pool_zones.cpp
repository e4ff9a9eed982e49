#include "forward/server_pool.h"

#include <algorithm>
#include <tuple>

namespace lycheefield {

namespace {

/// A response that is expected after this share of the target latency counts as late, because it leaves too little time for a further attempt.
constexpr double lateShare = 0.35;
/// A longer median latency contains waits for slots, which must not make the servers' capacity look smaller.
constexpr double maxRequestTimeShare = 0.25;
/// Wait for a slot, as a share of the target latency, up to which requests count as served in time.
constexpr double maxWaitShare = 0.25;
constexpr Duration spillReviewPeriod = 250ms;
/// After this time without a request that would leave, a service's decision is forgotten.
constexpr Duration spillLifetime = 2s;

}

Duration ServerPool::costOf(const ZoneName& zone) const
{
    if (zone == m_settings.zone)
        return {};
    const auto it = m_networkTimes.find(zone);
    return it == m_networkTimes.end() ? m_settings.crossZoneCost : std::max(m_settings.crossZoneCost, it->second);
}

void ServerPool::setNetworkTime(const ZoneName& zone, Duration time)
{
    m_networkTimes[zone] = time;
    const auto cost = costOf(zone);
    for (const auto& [name, server] : m_servers) {
        if (server->entry.zone == zone)
            server->zoneCost = cost;
    }
}

ZoneSpillInputs ServerPool::spillInputs(const ServiceName& service, const PickContext& context) const
{
    ZoneSpillInputs inputs;
    inputs.zoneInstances = m_zoneInstances;
    inputs.requestTime = std::min(context.medianTime, scaled(context.targetLatency, maxRequestTimeShare));
    for (const auto& server : m_byService.at(service)) {
        const bool isUsable = server->takesNewWork() && server->untilAllowed(context.now) == Duration {} && isResponsive(*server, context);
        if (!isUsable)
            continue;
        const auto requestTime = scaled(inputs.requestTime, expectedSlowness(*server, context.now));
        const auto maxWait = scaled(context.targetLatency, maxWaitShare);
        const auto tolerable = tolerableRequests(std::max(1U, server->entry.slots), requestTime, maxWait);
        const auto ahead = requestsAhead(*server, context.now);
        if (server->isInZone) {
            inputs.backlog += ahead;
            inputs.capacity += tolerable;
        } else {
            inputs.headroom += std::max(0.0, tolerable - ahead);
        }
    }
    return inputs;
}

ServerChoice ServerPool::explain(const ServiceName& service, const ServicePolicy& policy, const PickContext& context) const
{
    ServerChoice choice;
    const auto servers = m_byService.find(service);
    if (servers == m_byService.end())
        return choice;
    for (const auto& it : servers->second)
        choice.servers.push_back({ it->entry.name, it->entry.zone, expected(*it, context), exclusionOf(it, connectionShare(policy), context) });
    const auto rankOf = [](const ServerStanding& it) { return std::tuple(it.exclusion != ServerExclusion::None, it.expected, it.server); };
    std::sort(choice.servers.begin(), choice.servers.end(), [&](const auto& a, const auto& b) { return rankOf(a) < rankOf(b); });
    choice.zoneInputs = spillInputs(service, context);
    if (const auto spill = m_spills.find(service); spill != m_spills.end()) {
        choice.mayLeaveShare = spill->second.share(context.now);
        choice.leftShare = spill->second.leftShare();
    }
    return choice;
}

ZoneSpill& ServerPool::observeZones(const ServiceName& service, const PickContext& context)
{
    auto it = m_spills.find(service);
    if (it == m_spills.end())
        it = m_spills.emplace(service, ZoneSpill(m_random.unit())).first;
    auto& spill = it->second;
    if (!context.isEstimate)
        spill.recordCandidate(context.now);
    if (!spill.isDue(context.now))
        return spill;
    spill.update(spillInputs(service, context), context.now);
    return spill;
}

bool ServerPool::leavesZone(const ServiceName& service, const TrackedServer& local, const PickContext& context)
{
    const bool isFurtherAttempt = context.tried && !context.tried->empty();
    if (isFurtherAttempt || !isResponsive(local, context) || context.targetLatency == Duration {})
        return true;
    const auto& spill = observeZones(service, context);
    const bool isLate = expectedIfResponsive(local, context) > scaled(context.targetLatency, lateShare);
    return spill.mayLeave(isLate, m_random.unit(), context.now);
}

void ServerPool::endUnusedSpills(TimePoint now)
{
    if (now < m_nextSpillReview)
        return;
    m_nextSpillReview = now + spillReviewPeriod;
    std::erase_if(m_spills, [&](const auto& it) {
        const bool isUnused = it.second.share(now) == 0 && now > it.second.updatedAt() + spillLifetime;
        if (isUnused && it.second.isSpilling())
            m_spillChanges.push_back({ it.first, false, 0, it.second.inputs() });
        return isUnused;
    });
}

std::vector<ZoneSpillChange> ServerPool::takeSpillChanges(TimePoint now)
{
    endUnusedSpills(now);
    return std::exchange(m_spillChanges, {});
}

void ServerPool::recordFirstAttempt(const TrackedServer& server)
{
    const auto it = m_spills.find(server.entry.service);
    if (it == m_spills.end())
        return;
    auto& spill = it->second;
    const bool wasSpilling = spill.isSpilling();
    spill.recordSent(!server.isInZone);
    if (spill.isSpilling() != wasSpilling)
        m_spillChanges.push_back({ server.entry.service, spill.isSpilling(), spill.leftShare(), spill.inputs() });
}

double ServerPool::highestLeftShare() const
{
    double share = 0;
    for (const auto& [service, spill] : m_spills)
        share = std::max(share, spill.leftShare());
    return share;
}

}
