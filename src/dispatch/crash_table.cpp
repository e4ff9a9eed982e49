#include "dispatch/crash_table.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Wait before the first probe, so that the announcements of other relays arrive first.
constexpr Duration probeDelay = 500ms;
/// While callers still send content, its quarantine is announced at most this many times per quarantine time.
constexpr int announcementsPerQuarantine = 4;
/// Maximum length of an extended quarantine, in quarantine times.
constexpr int maxQuarantinePeriods = 12;

/// Entries kept in each list of a crash record.
constexpr std::size_t maxListLength = 16;

/// Appends a value that is not in the list yet; a full list drops its oldest entry.
template <typename T>
void appendUnique(std::vector<T>& values, const T& value)
{
    if (std::find(values.begin(), values.end(), value) != values.end())
        return;
    if (values.size() == maxListLength)
        values.erase(values.begin());
    values.push_back(value);
}

}

void CrashTable::evictRecords(TimePoint now)
{
    std::erase_if(m_records, [&](const auto& it) { return it.second.expiresAt <= now; });
    if (m_records.size() < maxRecords)
        return;
    const auto isEvictedFirst = [](const auto& a, const auto& b) {
        if (a.second.state != b.second.state)
            return a.second.state < b.second.state;
        return a.second.expiresAt < b.second.expiresAt;
    };
    m_records.erase(std::min_element(m_records.begin(), m_records.end(), isEvictedFirst));
}

CrashRecord& CrashTable::recordOf(Fingerprint fingerprint, TimePoint now)
{
    const auto it = m_records.find(fingerprint);
    if (it != m_records.end() && it->second.expiresAt > now)
        return it->second;
    if (it != m_records.end())
        m_records.erase(it);
    if (m_records.size() >= maxRecords)
        evictRecords(now);
    return m_records[fingerprint];
}

void CrashTable::onCrash(Fingerprint fingerprint, const CrashLocation& location, CrashId crash, bool wasProbe, TimePoint now, RelayActions& actions)
{
    const auto succeededRecently = m_successes.contains(fingerprint, now);
    m_successes.forget(fingerprint);
    auto& record = recordOf(fingerprint, now);
    ++record.crashes;
    appendUnique(record.observedCrashes, crash);
    if (wasProbe) {
        record.isProbing = false;
        return quarantine(fingerprint, record, location, now, actions);
    }
    if (record.state == ContentState::Quarantined) {
        appendUnique(record.crashedServers, location);
        return;
    }
    if (succeededRecently && record.state == ContentState::Watched) {
        appendUnique(record.crashedServers, location);
        record.expiresAt = now + m_settings.quarantineTime;
        return;
    }
    suspect(fingerprint, record, location, now, actions);
}

void CrashTable::suspect(Fingerprint fingerprint, CrashRecord& record, const CrashLocation& location, TimePoint now, RelayActions& actions)
{
    appendUnique(record.crashedServers, location);
    record.state = ContentState::Suspect;
    record.probeNotBefore = now + probeDelay;
    record.expiresAt = now + m_settings.quarantineTime;
    actions.push_back(AnnounceCrash { fingerprint, record.crashes, Duration {}, location });
}

void CrashTable::quarantine(Fingerprint fingerprint, CrashRecord& record, const CrashLocation& location, TimePoint now, RelayActions& actions)
{
    appendUnique(record.crashedServers, location);
    record.state = ContentState::Quarantined;
    record.quarantinedAt = now;
    record.announcedAt = now;
    record.expiresAt = now + m_settings.quarantineTime;
    actions.push_back(AnnounceCrash { fingerprint, record.crashes, m_settings.quarantineTime, location });
    clearContentsExplainedBy(fingerprint, record, actions);
}

void CrashTable::extendQuarantine(Fingerprint fingerprint, CrashRecord& record, TimePoint now, RelayActions& actions)
{
    const auto latest = record.quarantinedAt + m_settings.quarantineTime * maxQuarantinePeriods;
    record.expiresAt = std::max(record.expiresAt, std::min(latest, now + m_settings.quarantineTime));
    if (now - record.announcedAt < m_settings.quarantineTime / announcementsPerQuarantine)
        return;
    record.announcedAt = now;
    actions.push_back(AnnounceCrash { fingerprint, record.crashes, record.expiresAt - now, {} });
}

void CrashTable::clearContentsExplainedBy(Fingerprint quarantined, const CrashRecord& quarantinedRecord, RelayActions& actions)
{
    const auto isExplained = [&](CrashId crash) { return std::find(quarantinedRecord.observedCrashes.begin(), quarantinedRecord.observedCrashes.end(), crash) != quarantinedRecord.observedCrashes.end(); };
    std::erase_if(m_records, [&](const auto& it) {
        const auto& record = it.second;
        if (it.first == quarantined || record.state != ContentState::Suspect || record.crashes > record.observedCrashes.size())
            return false;
        if (!std::all_of(record.observedCrashes.begin(), record.observedCrashes.end(), isExplained))
            return false;
        actions.push_back(AnnounceCrash { it.first, 0, Duration {}, {} });
        return true;
    });
}

void CrashTable::retractCrash(CrashId crash, RelayActions& actions)
{
    std::erase_if(m_records, [&](const auto& it) {
        const auto& record = it.second;
        const auto isOnlyCrash = record.crashes == 1 && record.observedCrashes.size() == 1 && record.observedCrashes.front() == crash;
        if (!isOnlyCrash || record.state == ContentState::Quarantined)
            return false;
        if (record.state == ContentState::Suspect)
            actions.push_back(AnnounceCrash { it.first, 0, Duration {}, {} });
        return true;
    });
}

void CrashTable::onSuccess(Fingerprint fingerprint, TimePoint now, RelayActions& actions)
{
    m_successes.add(fingerprint, now);
    if (m_records.empty())
        return;
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end() || it->second.state != ContentState::Suspect)
        return;
    it->second.state = ContentState::Watched;
    it->second.isProbing = false;
    actions.push_back(AnnounceCrash { fingerprint, 0, Duration {}, {} });
}

void CrashTable::onProbeEnded(Fingerprint fingerprint)
{
    const auto it = m_records.find(fingerprint);
    if (it != m_records.end())
        it->second.isProbing = false;
}

void CrashTable::onAnnouncement(const AnnounceCrash& announcement, TimePoint now)
{
    if (announcement.crashes == 0) {
        const auto it = m_records.find(announcement.fingerprint);
        if (it != m_records.end() && it->second.state == ContentState::Suspect)
            m_records.erase(it);
        return;
    }
    auto& record = recordOf(announcement.fingerprint, now);
    m_successes.forget(announcement.fingerprint);
    record.crashes = std::max(record.crashes, announcement.crashes);
    if (announcement.quarantine > Duration {}) {
        if (record.state != ContentState::Quarantined)
            record.quarantinedAt = now;
        record.state = ContentState::Quarantined;
        record.announcedAt = now;
        record.expiresAt = std::max(record.expiresAt, now + announcement.quarantine);
        return;
    }
    if (record.state == ContentState::Quarantined)
        return;
    appendUnique(record.crashedServers, announcement.location);
    record.state = ContentState::Suspect;
    record.probeNotBefore = now + probeDelay;
    record.expiresAt = now + m_settings.quarantineTime;
}

bool CrashTable::isProbeOwner(const CrashRecord& record) const
{
    const ServerName* first = nullptr;
    for (const auto& it : record.crashedServers) {
        if (it.server.value().empty())
            return false;
        if (m_servers.exists(it.server) && (!first || it.server < *first))
            first = &it.server;
    }
    // When the catalog lists none of the crashed servers any more, a relay that saw a crash probes.
    return first ? m_servers.owns(*first) : !record.observedCrashes.empty();
}

bool CrashTable::mayProbe(const CrashRecord& record, const CrashLocation& location, TimePoint now) const
{
    if (record.isProbing || now < record.probeNotBefore || !isProbeOwner(record))
        return false;
    return std::all_of(record.crashedServers.begin(), record.crashedServers.end(), [&](const auto& it) { return it.server == location.server || it.shard != location.shard || !m_servers.exists(it.server); });
}

ContentAdmission CrashTable::admit(Fingerprint fingerprint, const CrashLocation& location, TimePoint now, RelayActions& actions)
{
    if (m_records.empty())
        return ContentAdmission::Run;
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return ContentAdmission::Run;
    auto& record = it->second;
    if (record.expiresAt <= now) {
        m_records.erase(it);
        return ContentAdmission::Run;
    }
    switch (record.state) {
    case ContentState::Watched:
        return ContentAdmission::Run;
    case ContentState::Quarantined:
        extendQuarantine(fingerprint, record, now, actions);
        return ContentAdmission::Refuse;
    case ContentState::Suspect:
        break;
    }
    if (!mayProbe(record, location, now))
        return ContentAdmission::Refuse;
    record.isProbing = true;
    return ContentAdmission::RunAsProbe;
}

bool CrashTable::isBlocked(Fingerprint fingerprint, TimePoint now) const
{
    if (m_records.empty())
        return false;
    const auto it = m_records.find(fingerprint);
    return it != m_records.end() && it->second.expiresAt > now && it->second.state != ContentState::Watched;
}

}
