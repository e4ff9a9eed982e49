#include "query/replica_chooser.h"

#include "query/snapshot_chooser.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// A replica is preferred for its speed only when it is faster than the other by more than this factor.
constexpr double minSpeedupToPrefer = 1.25;

/// A request is not refused because of an older report of a server's queue.
constexpr Duration maxLoadAgeForAdmission = 500ms;

}

ReplicaChooser::ReplicaChooser(const QuerySettings& settings, const ZoneName& self, ServerTable& servers, const DisconnectedRelays& lostRelays, const CrashEvidence& evidence, RandomSource& random)
    : m_settings(settings)
    , m_self(self)
    , m_servers(servers)
    , m_disconnectedRelays(lostRelays)
    , m_evidence(evidence)
    , m_random(random)
{
}

std::vector<ReplicaChoice> ReplicaChooser::candidatesOf(const Query& query, const LegState& leg, bool mayRepeatServer, TimePoint now)
{
    const SnapshotChooser snapshots(*query.tables.shards, m_servers, now);
    std::vector<ReplicaChoice> usable;
    std::vector<ReplicaChoice> avoided;
    for (const auto& name : leg.shard->replicas) {
        const auto* owners = query.tables.ownership->ownersOf(name);
        const auto* server = query.tables.shards->findServer(name);
        if (!owners || !server)
            continue;
        auto& record = m_servers.recordOf(name);
        const auto* relay = relayOf(*owners, leg, record, now);
        if (!relay || (query.canaryRelay && *query.canaryRelay != *relay))
            continue;
        if ((!mayRepeatServer && leg.wasAttemptedAt(&record)) || leg.lacksSnapshotAt(&record) || !snapshots.serves(name, query.version))
            continue;
        if (!m_evidence.mayRunOn(query.fingerprint, *leg.shard, name, now))
            continue;
        const bool avoid = server->leaving || (record.state && (record.state->draining || record.state->ejected));
        (avoid ? avoided : usable).push_back({ &record, *relay, &server->zone });
    }
    return usable.empty() ? avoided : usable;
}

const InstanceName* ReplicaChooser::relayOf(const BlockOwners& owners, const LegState& leg, const ServerRecord& server, TimePoint now) const
{
    const auto isAvailable = [&](const InstanceName& relay) { return !relay.value().empty() && !leg.isNotHeldBy(relay, &server, now); };
    if (isAvailable(owners.standby) && m_disconnectedRelays.isLost(owners.owner, now) && !m_disconnectedRelays.isLost(owners.standby, now))
        return &owners.standby;
    if (isAvailable(owners.owner))
        return &owners.owner;
    return isAvailable(owners.standby) ? &owners.standby : nullptr;
}

double ReplicaChooser::expectedMicros(const ReplicaChoice& choice, Priority priority, TimePoint now) const
{
    const auto slots = choice.server->slots();
    const auto& record = *choice.server;
    const auto link = *choice.zone == m_self ? 0 : 2 * static_cast<double>(m_settings.crossZoneCost.count());
    const auto reported = record.state ? static_cast<double>(record.state->recentLatency.count()) : 0;
    const auto own = record.latencyMicros > 0 ? record.latencyMicros : reported + link;
    const auto serviceTime = reported > 0 ? reported : std::max(0.0, own - link);
    const auto ahead = static_cast<double>(record.load(priority, now)) + 1 - slots;
    return own + std::max(0.0, ahead) / slots * serviceTime;
}

const ServerState* ReplicaChooser::knownState(const ServerRecord& record, TimePoint now) const
{
    return record.state && now - record.stateAt <= maxLoadAgeForAdmission ? &*record.state : nullptr;
}

double ReplicaChooser::serviceTimesAhead(const ServerRecord& record, const ServerState& state, Priority priority)
{
    const auto ahead = static_cast<double>(std::max(record.outstanding.upTo(priority), state.ahead(priority))) + 1 - record.slots();
    return std::max(0.0, ahead) / record.slots();
}

Duration ReplicaChooser::minResponseTime(const ReplicaChoice& choice, Priority priority, TimePoint now) const
{
    const auto* state = knownState(*choice.server, now);
    if (!state)
        return {};
    const auto micros = static_cast<double>(state->recentLatency.count()) * (1 + serviceTimesAhead(*choice.server, *state, priority));
    return Duration(static_cast<std::int64_t>(micros)) + (*choice.zone == m_self ? Duration {} : 2 * m_settings.crossZoneCost);
}

double ReplicaChooser::waitShare(const ReplicaChoice& choice, Priority priority, TimePoint deadline, TimePoint now) const
{
    const auto* state = knownState(*choice.server, now);
    return state ? shareOfSpareTime(choice, *state, serviceTimesAhead(*choice.server, *state, priority), deadline, now) : 0;
}

double ReplicaChooser::higherPriorityWaitShare(const ReplicaChoice& choice, Priority priority, TimePoint deadline, TimePoint now) const
{
    const auto* state = knownState(*choice.server, now);
    if (!state || priority == Priority::Van)
        return 0;
    const auto higher = static_cast<Priority>(static_cast<int>(priority) - 1);
    const auto serviceTimes = static_cast<double>(state->queuedBy.upTo(higher)) / choice.server->slots();
    return shareOfSpareTime(choice, *state, serviceTimes, deadline, now);
}

double ReplicaChooser::shareOfSpareTime(const ReplicaChoice& choice, const ServerState& state, double serviceTimes, TimePoint deadline, TimePoint now) const
{
    if (serviceTimes <= 0)
        return 0;
    const auto link = *choice.zone == m_self ? Duration {} : 2 * m_settings.crossZoneCost;
    const auto spare = static_cast<double>((deadline - now - link - state.recentLatency).count());
    const auto wait = serviceTimes * static_cast<double>(state.recentLatency.count());
    return spare > 0 ? wait / spare : 1;
}

ReplicaChoice ReplicaChooser::choose(const Query& query, const LegState& leg, bool mayRepeatServer, TimePoint now)
{
    const auto candidates = candidatesOf(query, leg, mayRepeatServer, now);
    if (candidates.empty())
        return {};
    if (candidates.size() == 1)
        return candidates[0];
    if (!m_settings.chooseByLoad)
        return candidates[(query.request.id.counter + leg.shard->number.value()) % candidates.size()];
    // Takes the better of two random candidates: if all entries took the best one, they would overload it.
    const auto n = candidates.size();
    const auto first = n == 2 ? 0 : m_random.below(n);
    const auto second = n == 2 ? 1 : (first + 1 + m_random.below(n - 1)) % n;
    return better(candidates[first], candidates[second], query.rule->priority, now);
}

const ReplicaChoice& ReplicaChooser::better(const ReplicaChoice& a, const ReplicaChoice& b, Priority priority, TimePoint now)
{
    const auto timeA = expectedMicros(a, priority, now);
    const auto timeB = expectedMicros(b, priority, now);
    if (timeA * minSpeedupToPrefer < timeB)
        return a;
    if (timeB * minSpeedupToPrefer < timeA)
        return b;
    if (a.server->load(priority, now) != b.server->load(priority, now))
        return a.server->load(priority, now) < b.server->load(priority, now) ? a : b;
    return m_random.below(2) == 0 ? a : b;
}

}
