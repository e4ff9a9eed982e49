#include "query/crash_evidence.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Lost legs of the same content within this time count as one crash.
constexpr Duration crashWindow = std::chrono::milliseconds(200);
/// Number of separate crashes that is no coincidence even without a probe.
constexpr std::uint32_t minCrashesToQuarantine = 3;

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
    // Evicts quarantined content last: a flood of other content must not end a quarantine.
    const auto isLessImportant = [](const auto& a, const auto& b) {
        return std::pair(a.second.quarantinedUntil, a.second.expiresAt) < std::pair(b.second.quarantinedUntil, b.second.expiresAt);
    };
    m_records.erase(std::min_element(m_records.begin(), m_records.end(), isLessImportant));
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
    if (!record)
        return ContentStanding::Clear;
    return record->quarantinedUntil > now ? ContentStanding::Quarantined : ContentStanding::Suspect;
}

Duration CrashEvidence::remainingQuarantine(Fingerprint fingerprint, TimePoint now) const
{
    const auto* record = find(fingerprint, now);
    return record && record->quarantinedUntil > now ? record->quarantinedUntil - now : Duration {};
}

void CrashEvidence::recordCrash(Fingerprint fingerprint, const ServerName& server, bool wasProbe, TimePoint now)
{
    auto& record = recordOf(fingerprint, now);
    if (record.crashes == 0 || now - record.lastCrash > crashWindow)
        ++record.crashes;
    record.lastCrash = now;
    record.expiresAt = now + retention;
    record.crashedServers[server] = now;
    if (wasProbe || record.crashes >= minCrashesToQuarantine)
        record.quarantinedUntil = now + retention;
}

void CrashEvidence::recordCrashNews(const CrashNews& news, TimePoint now)
{
    if (news.crashes == 0) {
        const auto it = m_records.find(news.fingerprint);
        if (it != m_records.end() && it->second.quarantinedUntil <= now)
            m_records.erase(it);
        return;
    }
    auto& record = recordOf(news.fingerprint, now);
    record.crashes = std::max(record.crashes, 1U);
    record.lastCrash = now;
    record.expiresAt = std::max(record.expiresAt, now + std::max(retention, news.quarantine));
    if (!news.server.value().empty())
        record.crashedServers[news.server] = now;
    if (news.quarantine > Duration {})
        record.quarantinedUntil = std::max(record.quarantinedUntil, now + news.quarantine);
}

void CrashEvidence::recordAnswer(const ServerName& server, TimePoint sentAt)
{
    for (auto& [fingerprint, record] : m_records) {
        const auto it = record.crashedServers.find(server);
        if (it != record.crashedServers.end() && it->second < sentAt)
            record.crashedServers.erase(it);
    }
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

}
