#include "forward/server_pool.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

namespace {

/// A server counts as silent when no response arrives for this many median latencies, but at least minSilence.
constexpr int silentAfterMedians = 3;
constexpr Duration minSilence = 60ms;
constexpr double maxSampleSlowness = 12;
/// Smoothing weight of a latency sample. The first slow sample has a lower weight: after a mere pause
/// a server is slow only for the requests it had at the time, and then as fast as before.
constexpr double newSampleWeight = 0.3;
constexpr double firstSlowWeight = 0.08;
constexpr double minSlowSample = 3;
/// Time constant of the slowness's exponential decay, multiplied by the number of consecutive slow responses plus one.
constexpr Duration slownessDecayTime = 500ms;
constexpr std::uint32_t maxSlowStreak = 7;
/// The weight of a load report falls linearly to zero over this time.
constexpr Duration loadReportLifetime = 400ms;
/// After rejecting a connection a server gets no more concurrent attempts than were in flight for this long.
constexpr Duration fullDuration = 1s;
/// The same for a server with no attempt of this instance in flight.
constexpr Duration fullWithoutConnectionsDuration = 100ms;
constexpr Duration initialBackoff = 250ms;
constexpr std::uint32_t maxBackoffDoublings = 4;
/// Factor on the expected latency of a server that is still warming up.
constexpr double warmupFactor = 1.6;
/// Share of a server's connections that all instances together use.
constexpr double usableConnectionShare = 0.9;
/// Random spread of the expected latencies, so that instances don't all pick the same one of several similar servers.
constexpr double randomSpread = 0.1;
/// Part of the rate that a warming server takes in any one second which is divided: in the worst second all instances spend a
/// second's rate and their whole bursts, which together are as much again and one request for each of the extra senders.
constexpr double dividedWarmupShare = 0.5;
constexpr double warmupBurstAllowance = 4;

double toMicros(Duration duration)
{
    return static_cast<double>(duration.count());
}

/// The best server of some zones.
struct Candidate {
    const TrackedServerPtr* server = nullptr;
    double micros = 0; ///< Expected latency.
};

double currentSlowness(const TrackedServer& server, TimePoint now)
{
    if (server.slowness == 1)
        return 1;
    const auto decayTime = toMicros(slownessDecayTime) * (1 + std::min(server.slowStreak, maxSlowStreak));
    return 1 + (server.slowness - 1) * std::exp(-toMicros(now - server.slownessUpdatedAt) / decayTime);
}

}

ServerPool::ServerPool(const ForwardSettings& settings, RandomSource& random)
    : m_settings(settings)
    , m_random(random)
    , m_sharing(settings.instance, settings.zone)
{
}

void ServerPool::update(const std::map<ServerName, ServerEntry>& entries, TimePoint now)
{
    std::map<ServerName, TrackedServerPtr> servers;
    m_byService.clear();
    ++m_shareVersion;
    for (const auto& [name, entry] : entries) {
        const auto it = m_servers.find(name);
        auto state = it != m_servers.end() && it->second->isOfProcess(entry) ? it->second : m_unlisted.take(entry);
        const bool isKnown = state != nullptr;
        if (!isKnown)
            state = std::make_shared<TrackedServer>();
        if (!isKnown || state->entry != entry) {
            state->listedAt = now;
            state->warmUntil = std::max(state->warmUntil, now + entry.warmupLeft);
        }
        state->entry = entry;
        state->isListed = true;
        state->isInDrainedZone = isDrained(entry.zone);
        state->isInZone = entry.zone == m_settings.zone;
        state->zoneCost = costOf(entry.zone);
        servers.emplace(name, state);
        m_byService[entry.service].push_back(std::move(state));
    }
    for (const auto& [name, state] : m_servers) {
        const auto it = servers.find(name);
        if (it != servers.end() && it->second == state)
            continue;
        state->isListed = false;
        m_unlisted.add(state);
    }
    m_servers = std::move(servers);
    std::erase_if(m_spills, [&](const auto& it) { return !m_byService.contains(it.first); });
    limitWarmups(now);
}

void ServerPool::setDrainedZones(const std::set<ZoneName>& zones)
{
    m_drainedZones = zones;
    for (const auto& [name, server] : m_servers)
        server->isInDrainedZone = isDrained(server->entry.zone);
}

std::uint32_t ServerPool::connectionShare(const ServicePolicy& policy) const
{
    const auto share = usableConnectionShare * policy.maxConnections / m_instances;
    return std::max(1U, static_cast<std::uint32_t>(share));
}

bool ServerPool::isSilent(const TrackedServer& server, const PickContext& context) const
{
    if (server.noResponseSince == never)
        return false;
    return context.now - server.noResponseSince > std::max(minSilence, silentAfterMedians * context.medianTime);
}

double ServerPool::expectedSlowness(const TrackedServer& server, TimePoint now)
{
    return server.reportedSlowdown.combinedWith(currentSlowness(server, now), now);
}

double ServerPool::requestsAhead(const TrackedServer& server, TimePoint now)
{
    const auto age = toMicros(now - server.loadReportedAt) / toMicros(loadReportLifetime);
    const double reported = server.load.running + server.load.waiting;
    return std::max<double>(server.inFlight, reported * std::max(0.0, 1 - age));
}

Duration ServerPool::expected(const TrackedServer& server, const PickContext& context) const
{
    return expectedIfResponsive(server, context) + (isSilent(server, context) ? unusableCost : Duration {});
}

Duration ServerPool::expectedIfResponsive(const TrackedServer& server, const PickContext& context) const
{
    const double slots = std::max(1U, server.entry.slots);
    const auto turns = std::max(0.0, requestsAhead(server, context.now) + 1 - slots) / slots;
    double micros = toMicros(context.medianTime) * expectedSlowness(server, context.now) * (1 + turns);
    if (context.now < server.warmUntil)
        micros *= warmupFactor;
    micros += toMicros(server.zoneCost);
    if (context.now < server.avoidUntil)
        micros += 2 * toMicros(unusableCost);
    return Duration(static_cast<Duration::rep>(micros));
}

ServerExclusion ServerPool::exclusionOf(const TrackedServerPtr& server, std::uint32_t connectionShare, const PickContext& context) const
{
    if (!server->takesNewWork())
        return ServerExclusion::NoNewWork;
    if (context.tried && std::find(context.tried->begin(), context.tried->end(), server) != context.tried->end())
        return ServerExclusion::Tried;
    if (server->untilAllowed(context.now) > Duration {})
        return ServerExclusion::Limited;
    const auto limit = context.now < server->fullUntil ? std::min(connectionShare, server->maxInFlight) : connectionShare;
    return server->inFlight >= limit ? ServerExclusion::ConnectionsUsed : ServerExclusion::None;
}

TrackedServerPtr ServerPool::pick(const ServiceName& service, const ServicePolicy& policy, const PickContext& context)
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end())
        return nullptr;
    const auto share = connectionShare(policy);
    Candidate local;
    Candidate remote;
    for (const auto& server : it->second) {
        if (exclusionOf(server, share, context) != ServerExclusion::None)
            continue;
        const auto micros = toMicros(expected(*server, context)) * (1 + randomSpread * m_random.unit());
        auto& best = server->isInZone ? local : remote;
        if (!best.server || micros < best.micros)
            best = { &server, micros };
    }
    if (!local.server || !remote.server || local.micros <= remote.micros)
        return local.server ? *local.server : (remote.server ? *remote.server : nullptr);
    return leavesZone(service, **local.server, context) ? *remote.server : *local.server;
}

bool ServerPool::hasServers(const ServiceName& service) const
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(), [](const auto& server) { return server->takesNewWork(); });
}

bool ServerPool::hasServersIn(const ServiceName& service, const ZoneName& zone) const
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const auto& server) { return server->takesNewWork() && server->entry.zone == zone; });
}

bool ServerPool::hasUntriedServers(const ServiceName& service, const std::vector<TrackedServerPtr>& tried) const
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const auto& server) {
        return server->takesNewWork() && std::find(tried.begin(), tried.end(), server) == tried.end();
    });
}

bool ServerPool::hasOneRunningServer(const ServiceName& service, const std::set<ServerName>& crashed) const
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end())
        return false;
    std::size_t running = 0;
    std::size_t down = 0;
    for (const auto& server : it->second) {
        if (!server->takesNewWork())
            continue;
        const bool isDown = server->failuresInRow > 0 || crashed.contains(server->entry.name);
        ++(isDown ? down : running);
    }
    return running == 1 && down > 0;
}

Duration ServerPool::untilUsable(const ServiceName& service, TimePoint now) const
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end())
        return unusableCost;
    TimePoint soonest = never;
    for (const auto& server : it->second) {
        if (server->takesNewWork())
            soonest = std::min(soonest, server->avoidUntil);
    }
    if (soonest == never)
        return unusableCost;
    return std::max(Duration {}, soonest - now);
}

void ServerPool::setFleet(const std::vector<Instance>& instances, TimePoint now)
{
    const auto inZone = std::count_if(instances.begin(), instances.end(), [&](const auto& it) { return it.zone == m_settings.zone; });
    m_zoneInstances = std::max(1U, static_cast<std::uint32_t>(inZone));
    m_sharing.setInstances(instances, now);
    ++m_shareVersion;
    limitWarmups(now);
}

void ServerPool::setDirectServices(std::set<ServiceName> services)
{
    m_directServices = std::move(services);
    ++m_shareVersion;
}

ServiceReach ServerPool::reachOf(const ServiceName& service) const
{
    ServiceReach reach;
    reach.isDirect = m_directServices.contains(service);
    if (const auto it = m_byService.find(service); it != m_byService.end()) {
        for (const auto& server : it->second)
            reach.zones.insert(server->entry.zone);
    }
    return reach;
}

void ServerPool::recordLimit(TrackedServer& server, std::optional<double> limit, TimePoint now)
{
    if (!limit) {
        server.advertisedLimit.reset();
        server.rateLimit.clear();
        return;
    }
    if (now >= m_nextShareChange)
        ++m_shareVersion;
    m_nextShareChange = m_sharing.nextChange(now);
    if (server.advertisedLimit == limit && server.shareVersion == m_shareVersion)
        return;
    server.advertisedLimit = limit;
    server.shareVersion = m_shareVersion;
    const auto share = m_sharing.shareOf(server.entry, *limit, reachOf(server.entry.service), now);
    // The fill is random, so that the instances do not all send at the same moment.
    server.rateLimit.set(share, share.burst * m_random.unit(), now);
}

Duration ServerPool::untilAllowed(const ServiceName& service, TimePoint now) const
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end())
        return {};
    auto soonest = Duration::max();
    for (const auto& server : it->second) {
        if (server->takesNewWork())
            soonest = std::min(soonest, server->untilAllowed(now));
    }
    return soonest == Duration::max() ? Duration {} : soonest;
}

void ServerPool::setWarmupRates(const std::map<ServiceName, ServicePolicy>& services, TimePoint now)
{
    m_warmupRates.clear();
    for (const auto& [name, policy] : services) {
        if (policy.warmupRate <= 0)
            continue;
        const auto taken = policy.warmupRate * m_settings.warmupTolerance + m_settings.warmupSlack;
        m_warmupRates.emplace(name, std::max(0.0, dividedWarmupShare * (taken - warmupBurstAllowance)));
    }
    ++m_shareVersion;
    limitWarmups(now);
}

void ServerPool::limitWarmup(TrackedServer& server, TimePoint now)
{
    const auto rate = m_warmupRates.find(server.entry.service);
    if (rate == m_warmupRates.end())
        return server.warmupLimit.clear();
    if (server.warmupLimit.isSet() && server.warmupShareVersion == m_shareVersion)
        return;
    server.warmupShareVersion = m_shareVersion;
    const auto share = m_sharing.shareOf(server.entry, rate->second, reachOf(server.entry.service), now);
    // The fill is random, so that the instances do not all send at the same moment.
    server.warmupLimit.set(share, share.burst * m_random.unit(), now);
}

void ServerPool::limitWarmups(TimePoint now)
{
    for (const auto& [name, server] : m_servers) {
        if (now < server->warmUntil)
            limitWarmup(*server, now);
    }
}

void ServerPool::recordWarmup(TrackedServer& server, Duration left, TimePoint now)
{
    server.warmUntil = std::max(server.warmUntil, now + left);
    limitWarmup(server, now);
}

void ServerPool::recordSent(TrackedServer& server, TimePoint now)
{
    server.rateLimit.take(now);
    if (now < server.warmUntil)
        server.warmupLimit.take(now);
    if (server.inFlight++ == 0)
        server.noResponseSince = now;
}

void ServerPool::recordEnd(TrackedServer& server, TimePoint)
{
    if (--server.inFlight == 0)
        server.noResponseSince = never;
}

void ServerPool::recordAnswer(TrackedServer& server, TimePoint sentAt, Duration median, TimePoint now)
{
    server.failuresInRow = 0;
    server.avoidUntil = {};
    server.noResponseSince = server.inFlight > 0 ? now : never;
    if (median <= Duration {})
        return;
    const auto sample = std::min(maxSampleSlowness, toMicros(now - sentAt) / toMicros(median));
    server.reportedSlowdown.recordSample(sample, currentSlowness(server, now), now);
    const bool isSlow = sample >= minSlowSample;
    const bool isAgain = isSlow && server.slowStreak > 0 && sentAt > server.lastSlowAt;
    const auto weight = isSlow && !isAgain ? firstSlowWeight : newSampleWeight;
    server.slowness = (1 - weight) * currentSlowness(server, now) + weight * sample;
    server.slownessUpdatedAt = now;
    if (!isSlow)
        server.slowStreak = 0;
    else if (isAgain || server.slowStreak == 0)
        ++server.slowStreak;
    if (isSlow)
        server.lastSlowAt = now;
}

void ServerPool::recordFull(TrackedServer& server, TimePoint now)
{
    server.maxInFlight = server.inFlight;
    server.fullUntil = now + (server.inFlight > 0 ? fullDuration : fullWithoutConnectionsDuration);
}

void ServerPool::recordFailure(TrackedServer& server, TimePoint now)
{
    const auto doublings = std::min(server.failuresInRow, maxBackoffDoublings);
    server.avoidUntil = now + initialBackoff * (1 << doublings);
    ++server.failuresInRow;
}

void ServerPool::recordRetryAfter(TrackedServer& server, Duration retryAfter, TimePoint now)
{
    server.retryNotBefore = std::max(server.retryNotBefore, now + retryAfter);
}

void ServerPool::recordLoad(TrackedServer& server, const ServerLoad& load, TimePoint now)
{
    server.load = load;
    server.loadReportedAt = now;
    server.reportedSlowdown.record(load.slowdown, now);
}

void ServerPool::markReplaced(TrackedServer& server)
{
    server.isReplaced = true;
}

}
