#include "forward/server_pool.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

namespace {

/// A server that owes an answer is silent after so many usual times, and never sooner than the least.
constexpr int silentAfterUsualTimes = 3;
constexpr Duration silentAtLeast = 60ms;
constexpr double mostSlownessOfSample = 12;
/// A usual answer counts by this weight. So does a slow one, but not the first: a server that only
/// paused is slow for the requests that it had, and then as fast as before.
constexpr double newSampleWeight = 0.3;
constexpr double firstSlowWeight = 0.08;
constexpr double slowSample = 3;
/// Slowness fades by this time constant, longer after each slow answer in a row.
constexpr Duration slownessFades = 500ms;
constexpr std::uint32_t mostSlowStreak = 7;
/// A load report counts fully when it comes and not at all after this time.
constexpr Duration loadIsOldAfter = 400ms;
/// After it turned a connection away a server is not asked for another one for this long.
constexpr Duration noRoomLasts = 1s;
/// The same when this instance has no connection to it at all.
constexpr Duration noRoomAtAllLasts = 100ms;
constexpr Duration firstAvoidance = 250ms;
constexpr std::uint32_t mostAvoidanceDoublings = 4;
/// A server that has just started is slower by this factor until it is warm.
constexpr double coldFactor = 1.6;
/// Part of a server's connections that all instances together use.
constexpr double connectionsUsed = 0.9;
/// Servers that are about as good get work at random, so that instances don't all pick the same one.
constexpr double randomSpread = 0.1;

double asDouble(Duration duration)
{
    return static_cast<double>(duration.count());
}

double currentSlowness(const TrackedServer& server, TimePoint now)
{
    const auto fades = asDouble(slownessFades) * (1 + std::min(server.slowStreak, mostSlowStreak));
    return 1 + (server.slowness - 1) * std::exp(-asDouble(now - server.slownessAt) / fades);
}

double othersAhead(const TrackedServer& server, TimePoint now)
{
    const auto age = asDouble(now - server.loadAt) / asDouble(loadIsOldAfter);
    const double reported = server.load.running + server.load.waiting;
    return std::max<double>(server.inFlight, reported * std::max(0.0, 1 - age));
}

}

ServerPool::ServerPool(const ForwardSettings& settings, RandomSource& random)
    : m_settings(settings)
    , m_random(random)
{
}

void ServerPool::update(const std::map<ServerName, ServerEntry>& entries, TimePoint now)
{
    std::map<ServerName, TrackedServerPtr> servers;
    m_byService.clear();
    for (const auto& [name, entry] : entries) {
        const auto it = m_servers.find(name);
        const bool isSameLife = it != m_servers.end() && it->second->entry.startedAt == entry.startedAt && it->second->entry.endpoint == entry.endpoint;
        auto state = isSameLife ? it->second : std::make_shared<TrackedServer>();
        if (!isSameLife || state->entry != entry)
            state->listedAt = now;
        state->entry = entry;
        servers.emplace(name, state);
        m_byService[entry.service].push_back(std::move(state));
    }
    for (const auto& [name, state] : m_servers) {
        const auto it = servers.find(name);
        if (it == servers.end() || it->second != state)
            state->isListed = false;
    }
    m_servers = std::move(servers);
}

std::uint32_t ServerPool::connectionShare(const ServicePolicy& policy) const
{
    const auto share = connectionsUsed * policy.maxConnections / m_instances;
    return std::max(1U, static_cast<std::uint32_t>(share));
}

bool ServerPool::isSilent(const TrackedServer& server, const PickContext& context) const
{
    if (server.owesSince == never)
        return false;
    return context.now - server.owesSince > std::max(silentAtLeast, silentAfterUsualTimes * context.usualTime);
}

Duration ServerPool::expected(const TrackedServer& server, const PickContext& context) const
{
    return expectedIfAwake(server, context) + (isSilent(server, context) ? unusableCost : Duration {});
}

Duration ServerPool::expectedIfAwake(const TrackedServer& server, const PickContext& context) const
{
    const double slots = std::max(1U, server.entry.slots);
    const auto turns = std::max(0.0, othersAhead(server, context.now) + 1 - slots) / slots;
    double micros = asDouble(context.usualTime) * currentSlowness(server, context.now) * (1 + turns);
    if (context.now < server.listedAt + server.entry.warmupLeft)
        micros *= coldFactor;
    if (server.entry.zone != m_settings.zone)
        micros += asDouble(m_settings.crossZoneCost);
    if (context.now < server.avoidUntil)
        micros += 2 * asDouble(unusableCost);
    return Duration(static_cast<Duration::rep>(micros));
}

TrackedServerPtr ServerPool::pick(const ServiceName& service, const ServicePolicy& policy, const PickContext& context) const
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end())
        return nullptr;
    const auto most = connectionShare(policy);
    TrackedServerPtr best;
    double bestMicros = 0;
    for (const auto& server : it->second) {
        const bool isTried = context.tried && std::find(context.tried->begin(), context.tried->end(), server) != context.tried->end();
        const auto room = context.now < server->roomUntil ? std::min(most, server->roomFor) : most;
        if (!server->takesNewWork() || isTried || server->inFlight >= room)
            continue;
        const auto micros = asDouble(expected(*server, context)) * (1 + randomSpread * m_random.unit());
        if (best && micros >= bestMicros)
            continue;
        best = server;
        bestMicros = micros;
    }
    return best;
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

bool ServerPool::hasOthers(const ServiceName& service, const std::vector<TrackedServerPtr>& tried) const
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const auto& server) {
        return server->takesNewWork() && std::find(tried.begin(), tried.end(), server) == tried.end();
    });
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

void ServerPool::noteSent(TrackedServer& server, TimePoint now)
{
    if (server.inFlight++ == 0)
        server.owesSince = now;
}

void ServerPool::noteOver(TrackedServer& server, TimePoint)
{
    if (--server.inFlight == 0)
        server.owesSince = never;
}

void ServerPool::recordAnswer(TrackedServer& server, TimePoint sentAt, Duration usual, TimePoint now)
{
    server.failuresInRow = 0;
    server.avoidUntil = {};
    server.owesSince = server.inFlight > 0 ? now : never;
    if (usual <= Duration {})
        return;
    const auto sample = std::min(mostSlownessOfSample, asDouble(now - sentAt) / asDouble(usual));
    const bool isSlow = sample >= slowSample;
    const bool isAgain = isSlow && server.slowStreak > 0 && sentAt > server.slowAt;
    const auto weight = isSlow && !isAgain ? firstSlowWeight : newSampleWeight;
    server.slowness = (1 - weight) * currentSlowness(server, now) + weight * sample;
    server.slownessAt = now;
    if (!isSlow)
        server.slowStreak = 0;
    else if (isAgain || server.slowStreak == 0)
        ++server.slowStreak;
    if (isSlow)
        server.slowAt = now;
}

void ServerPool::noteNoRoom(TrackedServer& server, TimePoint now)
{
    server.roomFor = server.inFlight;
    server.roomUntil = now + (server.inFlight > 0 ? noRoomLasts : noRoomAtAllLasts);
}

void ServerPool::recordFailure(TrackedServer& server, TimePoint now)
{
    const auto doublings = std::min(server.failuresInRow, mostAvoidanceDoublings);
    server.avoidUntil = now + firstAvoidance * (1 << doublings);
    ++server.failuresInRow;
}

void ServerPool::noteLoad(TrackedServer& server, const ServerLoad& load, TimePoint now)
{
    server.load = load;
    server.loadAt = now;
}

void ServerPool::noteReplaced(TrackedServer& server)
{
    server.isListed = false;
}

}
