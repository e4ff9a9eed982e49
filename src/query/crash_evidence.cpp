#include "query/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Number of separate crashes that is no coincidence even without a probe.
constexpr std::uint32_t minCrashesToQuarantine = 3;
/// A full table evicts one of so many records.
constexpr std::size_t evictionDivisor = 16;
/// Records with at least so many crashed servers are evicted by their age alone.
constexpr std::size_t maxRankedServers = 2;

}

const CrashEvidence::Record* CrashEvidence::find(Fingerprint fingerprint, TimePoint now) const
{
    if (m_records.empty())
        return nullptr;
    const auto it = m_records.find(fingerprint);
    return it == m_records.end() || it->second.expiresAt <= now ? nullptr : &it->second;
}

void CrashEvidence::evict(TimePoint now)
{
    std::erase_if(m_records, [&](const auto& it) { return it.second.expiresAt <= now; });
    if (m_records.size() < maxRecords)
        return;
    // When servers crash by themselves, whatever they run leaves a record. Such a flood must not evict content that more
    // speaks against. Several records are evicted at once, as the search for them visits all.
    struct Candidate {
        ContentStanding standing;
        std::size_t servers;
        TimePoint expiresAt;
        Fingerprint content;
        auto operator<=>(const Candidate&) const = default;
    };
    std::vector<Candidate> candidates;
    candidates.reserve(m_records.size());
    for (const auto& [content, record] : m_records)
        candidates.push_back({ standingOf(record, now), std::min(record.crashedServers.size(), maxRankedServers), record.expiresAt, content });
    const auto end = candidates.begin() + maxRecords / evictionDivisor;
    std::nth_element(candidates.begin(), end, candidates.end());
    std::for_each(candidates.begin(), end, [&](const auto& it) { m_records.erase(it.content); });
}

CrashEvidence::Record& CrashEvidence::recordOf(Fingerprint fingerprint, TimePoint now)
{
    const auto it = m_records.find(fingerprint);
    if (it != m_records.end() && it->second.expiresAt > now)
        return it->second;
    if (it != m_records.end())
        m_records.erase(it);
    if (m_records.size() >= maxRecords)
        evict(now);
    return m_records[fingerprint];
}

ContentStanding CrashEvidence::standingOf(Fingerprint fingerprint, TimePoint now) const
{
    const auto* record = find(fingerprint, now);
    return record ? standingOf(*record, now) : ContentStanding::Clear;
}

CrashEvidence::CrashCount CrashEvidence::countCrashes(const Record& record)
{
    std::map<ServiceName, CrashCount> byService;
    for (const auto& [server, it] : record.crashedServers) {
        auto& count = byService[record.wasServed ? it.service : ServiceName()];
        count.crashes += it.count;
        count.confirmed += it.count - it.unconfirmed;
        ++count.servers;
    }
    CrashCount most;
    for (const auto& [service, count] : byService) {
        most.crashes = std::max(most.crashes, count.crashes);
        most.confirmed = std::max(most.confirmed, count.confirmed);
        most.servers = std::max(most.servers, count.servers);
    }
    // Other instances announce their crashes without all servers.
    most.crashes = record.wasServed ? std::min(record.crashes, most.crashes) : record.crashes;
    return most;
}

ContentStanding CrashEvidence::standingOf(const Record& record, TimePoint now) const
{
    if (record.quarantinedUntil > now)
        return ContentStanding::Quarantined;
    const auto count = countCrashes(record);
    const bool isSuspect = count.crashes >= m_policy.minSuspectCrashes || count.servers >= m_policy.minSuspectServers;
    return isSuspect ? ContentStanding::Suspect : ContentStanding::Clear;
}

Duration CrashEvidence::remainingQuarantine(Fingerprint fingerprint, TimePoint now) const
{
    const auto* record = find(fingerprint, now);
    return record && record->quarantinedUntil > now ? record->quarantinedUntil - now : Duration {};
}

std::uint32_t CrashEvidence::crashesOf(Fingerprint fingerprint, TimePoint now) const
{
    const auto* record = find(fingerprint, now);
    return record ? record->crashes : 0;
}

void CrashEvidence::addCrash(Record& record, const CrashedAttempt& attempt, TimePoint now)
{
    auto& crashes = record.crashedServers[attempt.server];
    crashes.service = attempt.service;
    crashes.lastAt = now;
    crashes.wasProbe = attempt.wasProbe;
    crashes.isSearchLeg = attempt.isSearchLeg;
    crashes.isUnserved = crashes.isUnserved || attempt.isUnserved;
    ++crashes.count;
    ++crashes.unconfirmed;
}

void CrashEvidence::recordCrash(Fingerprint fingerprint, const CrashedAttempt& attempt, TimePoint now)
{
    auto& record = recordOf(fingerprint, now);
    if (record.crashes == 0 || attempt.sequence > record.lastSequence) {
        ++record.crashes;
        record.lastSequence = m_lastSequence;
    }
    record.expiresAt = now + m_policy.retention;
    addCrash(record, attempt, now);
    if (!m_policy.needsConfirmation)
        confirm(record, record.crashedServers.at(attempt.server), now);
}

void CrashEvidence::confirm(Record& record, ServerCrashes& crashes, TimePoint now) const
{
    crashes.unconfirmed = 0;
    const auto count = countCrashes(record);
    const bool isProof = crashes.wasProbe && !record.wasServed;
    if (!isProof && std::min(count.crashes, count.confirmed) < minCrashesToQuarantine)
        return;
    record.quarantinedUntil = now + m_policy.retention;
    record.quarantineService = crashes.service;
}

std::vector<ConfirmedCrash> CrashEvidence::confirmCrashes(const ServerName& server, TimePoint now)
{
    std::vector<ConfirmedCrash> confirmed;
    for (auto& [fingerprint, record] : m_records) {
        const auto it = record.crashedServers.find(server);
        if (it == record.crashedServers.end() || it->second.unconfirmed == 0)
            continue;
        const bool wasQuarantined = record.quarantinedUntil > now;
        confirm(record, it->second, now);
        confirmed.push_back({ fingerprint, it->second.service, it->second.isSearchLeg, !wasQuarantined && record.quarantinedUntil > now, it->second.isUnserved });
    }
    return confirmed;
}

std::optional<ServerName> CrashEvidence::recordUnserved(Fingerprint fingerprint, const ServiceName& service, TimePoint now)
{
    if (!find(fingerprint, now))
        return std::nullopt;
    std::optional<ServerName> confirmed;
    for (auto& [server, crashes] : m_records.at(fingerprint).crashedServers) {
        if (crashes.service != service)
            continue;
        if (!std::exchange(crashes.isUnserved, true) && crashes.unconfirmed == 0)
            confirmed = server;
    }
    return confirmed;
}

bool CrashEvidence::withdrawCrashes(const ServerName& server)
{
    bool isAnyWithdrawn = false;
    for (auto it = m_records.begin(); it != m_records.end();) {
        auto& record = it->second;
        const auto crashes = record.crashedServers.find(server);
        const bool isWithdrawn = crashes != record.crashedServers.end() && crashes->second.unconfirmed > 0;
        if (isWithdrawn) {
            crashes->second.count -= std::exchange(crashes->second.unconfirmed, 0);
            crashes->second.wasProbe = false;
            if (crashes->second.count == 0)
                record.crashedServers.erase(crashes);
        }
        isAnyWithdrawn = isAnyWithdrawn || isWithdrawn;
        it = isWithdrawn && removeUnaccounted(record) && record.quarantinedUntil == TimePoint {} ? m_records.erase(it) : std::next(it);
    }
    return isAnyWithdrawn;
}

bool CrashEvidence::hasUnconfirmed(Fingerprint fingerprint, TimePoint now) const
{
    const auto* record = find(fingerprint, now);
    if (!record)
        return false;
    return std::any_of(record->crashedServers.begin(), record->crashedServers.end(), [](const auto& it) { return it.second.unconfirmed > 0; });
}

void CrashEvidence::recordCrashNews(const CrashNews& news, TimePoint now)
{
    if (news.crashes == 0) {
        const auto it = m_records.find(news.fingerprint);
        if (it == m_records.end())
            return;
        it->second.wasServed = true;
        if (!news.service.value().empty())
            clearService(news.fingerprint, news.service);
        else if (it->second.quarantinedUntil <= now)
            m_records.erase(it);
        return;
    }
    auto& record = recordOf(news.fingerprint, now);
    const bool namesServer = !news.server.value().empty();
    const bool isNewServer = namesServer && !record.crashedServers.contains(news.server);
    // A repeated announcement must not prolong the record.
    if (isNewServer || news.crashes > record.crashes) {
        record.lastSequence = m_lastSequence;
        record.expiresAt = std::max(record.expiresAt, now + m_policy.retention);
    }
    record.crashes = std::max(record.crashes, news.crashes);
    record.announcedCrashes = std::max(record.announcedCrashes, news.crashes);
    if (isNewServer) {
        addCrash(record, { news.server, news.service }, now);
        auto& crashes = record.crashedServers.at(news.server);
        crashes.unconfirmed = 0;
        crashes.announced = 1;
    }
    if (news.quarantine > Duration {}) {
        record.quarantinedUntil = std::max(record.quarantinedUntil, now + news.quarantine);
        if (record.quarantineService.value().empty())
            record.quarantineService = news.service;
    }
    record.expiresAt = std::max(record.expiresAt, record.quarantinedUntil);
}

void CrashEvidence::recordAnswer(const ServerName& server, TimePoint sentAt)
{
    for (auto& [fingerprint, record] : m_records) {
        const auto it = record.crashedServers.find(server);
        if (it != record.crashedServers.end() && it->second.lastAt < sentAt)
            record.crashedServers.erase(it);
    }
}

SuccessEffect CrashEvidence::recordServed(Fingerprint fingerprint, const ServiceName& service, TimePoint now)
{
    if (!find(fingerprint, now))
        return SuccessEffect::None;
    m_records.at(fingerprint).wasServed = true;
    return clearService(fingerprint, service);
}

SuccessEffect CrashEvidence::clearService(Fingerprint fingerprint, const ServiceName& service)
{
    const auto it = m_records.find(fingerprint);
    auto& record = it->second;
    auto& servers = record.crashedServers;
    const auto cleared = std::erase_if(servers, [&](const auto& entry) { return entry.second.service == service || entry.second.service.value().empty(); });
    const bool endsQuarantine = record.quarantinedUntil != TimePoint {} && !service.value().empty() && record.quarantineService == service;
    if (cleared == 0 && !endsQuarantine)
        return SuccessEffect::None;
    if (endsQuarantine) {
        record.quarantinedUntil = {};
        record.quarantineService = {};
    }
    if (servers.empty() && record.quarantinedUntil == TimePoint {}) {
        m_records.erase(it);
        return SuccessEffect::ContentCleared;
    }
    record.announcedCrashes = 0;
    for (const auto& [server, crashes] : servers)
        record.announcedCrashes += crashes.announced;
    removeUnaccounted(record);
    return SuccessEffect::ServiceCleared;
}

bool CrashEvidence::removeUnaccounted(Record& record)
{
    auto accounted = record.announcedCrashes;
    for (const auto& [server, crashes] : record.crashedServers)
        accounted += crashes.count - crashes.announced;
    record.crashes = std::min(record.crashes, accounted);
    return accounted == 0;
}

bool CrashEvidence::mayRunOn(Fingerprint fingerprint, const Shard& shard, const ServerName& server, TimePoint now) const
{
    const auto* record = find(fingerprint, now);
    if (!record)
        return true;
    return std::all_of(shard.replicas.begin(), shard.replicas.end(), [&](const auto& it) { return it == server || !record->crashedServers.contains(it); });
}

const ServerName* CrashEvidence::probeServer(Fingerprint fingerprint, TimePoint now) const
{
    const auto* record = find(fingerprint, now);
    return record && !record->crashedServers.empty() ? &record->crashedServers.begin()->first : nullptr;
}

bool CrashEvidence::hasCrashedIn(Fingerprint fingerprint, const ServiceName& service, TimePoint now) const
{
    const auto* record = find(fingerprint, now);
    if (!record)
        return false;
    return std::any_of(record->crashedServers.begin(), record->crashedServers.end(), [&](const auto& it) { return it.second.service == service; });
}

std::optional<TimePoint> CrashEvidence::lastCrashOf(Fingerprint fingerprint, TimePoint now) const
{
    const auto* record = find(fingerprint, now);
    if (!record || record->crashedServers.empty())
        return std::nullopt;
    const auto isEarlier = [](const auto& a, const auto& b) { return a.second.lastAt < b.second.lastAt; };
    return std::max_element(record->crashedServers.begin(), record->crashedServers.end(), isEarlier)->second.lastAt;
}

std::set<ServerName> CrashEvidence::crashedServersOf(Fingerprint fingerprint, TimePoint now) const
{
    std::set<ServerName> servers;
    if (const auto* record = find(fingerprint, now)) {
        for (const auto& [server, crashes] : record->crashedServers)
            servers.insert(server);
    }
    return servers;
}

std::vector<CrashNews> CrashEvidence::announcements(TimePoint now) const
{
    std::vector<CrashNews> all;
    std::vector<std::pair<TimePoint, Fingerprint>> suspects;
    for (const auto& [fingerprint, record] : m_records) {
        if (record.quarantinedUntil > now)
            all.push_back({ fingerprint, record.crashes, record.quarantinedUntil - now, {}, record.quarantineService });
        else if (record.expiresAt > now && !record.crashedServers.empty() && standingOf(record, now) == ContentStanding::Suspect)
            suspects.emplace_back(record.expiresAt, fingerprint);
    }
    std::sort(suspects.rbegin(), suspects.rend());
    suspects.resize(std::min(suspects.size(), maxAnnouncedSuspects));
    for (const auto& [expiresAt, fingerprint] : suspects) {
        const auto& record = m_records.at(fingerprint);
        const auto& [server, crashes] = *record.crashedServers.begin();
        all.push_back({ fingerprint, std::max(record.crashes, m_policy.minSuspectCrashes), {}, server, crashes.service });
    }
    return all;
}

}
