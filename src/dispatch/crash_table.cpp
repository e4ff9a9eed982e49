#include "dispatch/crash_table.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Time for the news of other relays to arrive before anyone probes.
constexpr Duration probeDelay = 500ms;
/// A quarantine is announced again when this share of it has passed and the content is still sent.
constexpr int announcementsPerQuarantine = 4;
/// The longest that a quarantine is kept up by content that is still sent.
constexpr int maxQuarantineTimes = 12;

constexpr std::size_t maxRemembered = 16;

/// Appends unless it is there; the oldest gives way when there are too many.
template <typename T>
void remember(std::vector<T>& values, const T& value)
{
    if (std::find(values.begin(), values.end(), value) != values.end())
        return;
    if (values.size() == maxRemembered)
        values.erase(values.begin());
    values.push_back(value);
}

}

void CrashTable::makeRoom(TimePoint now)
{
    std::erase_if(m_records, [&](const auto& it) { return it.second.until <= now; });
    if (m_records.size() < maxRecords)
        return;
    const auto isLessWorth = [](const auto& a, const auto& b) {
        if (a.second.standing != b.second.standing)
            return a.second.standing < b.second.standing;
        return a.second.until < b.second.until;
    };
    m_records.erase(std::min_element(m_records.begin(), m_records.end(), isLessWorth));
}

CrashRecord& CrashTable::recordOf(Fingerprint fingerprint, TimePoint now)
{
    const auto it = m_records.find(fingerprint);
    if (it != m_records.end() && it->second.until > now)
        return it->second;
    if (it != m_records.end())
        m_records.erase(it);
    if (m_records.size() >= maxRecords)
        makeRoom(now);
    return m_records[fingerprint];
}

void CrashTable::onCrash(Fingerprint fingerprint, const CrashLocation& place, CrashId crash, bool wasProbe, TimePoint now, RelayActions& actions)
{
    const auto isKnownGood = m_successes.contains(fingerprint, now);
    m_successes.forget(fingerprint);
    auto& record = recordOf(fingerprint, now);
    ++record.crashes;
    remember(record.ownCrashes, crash);
    if (wasProbe) {
        record.isProbing = false;
        return quarantine(fingerprint, record, place, now, actions);
    }
    if (record.standing == CrashStanding::Quarantined) {
        remember(record.crashedServers, place);
        return;
    }
    if (isKnownGood && record.standing == CrashStanding::Watched) {
        remember(record.crashedServers, place);
        record.until = now + m_settings.quarantineTime;
        return;
    }
    suspect(fingerprint, record, place, now, actions);
}

void CrashTable::suspect(Fingerprint fingerprint, CrashRecord& record, const CrashLocation& place, TimePoint now, RelayActions& actions)
{
    remember(record.crashedServers, place);
    record.standing = CrashStanding::Suspect;
    record.probeNotBefore = now + probeDelay;
    record.until = now + m_settings.quarantineTime;
    actions.push_back(AnnounceCrash { fingerprint, record.crashes, Duration {}, place });
}

void CrashTable::quarantine(Fingerprint fingerprint, CrashRecord& record, const CrashLocation& place, TimePoint now, RelayActions& actions)
{
    remember(record.crashedServers, place);
    record.standing = CrashStanding::Quarantined;
    record.quarantinedAt = now;
    record.announcedAt = now;
    record.until = now + m_settings.quarantineTime;
    actions.push_back(AnnounceCrash { fingerprint, record.crashes, m_settings.quarantineTime, place });
    clearThoseExplainedBy(fingerprint, record, actions);
}

void CrashTable::extendQuarantine(Fingerprint fingerprint, CrashRecord& record, TimePoint now, RelayActions& actions)
{
    const auto latest = record.quarantinedAt + m_settings.quarantineTime * maxQuarantineTimes;
    record.until = std::max(record.until, std::min(latest, now + m_settings.quarantineTime));
    if (now - record.announcedAt < m_settings.quarantineTime / announcementsPerQuarantine)
        return;
    record.announcedAt = now;
    actions.push_back(AnnounceCrash { fingerprint, record.crashes, record.until - now, {} });
}

void CrashTable::clearThoseExplainedBy(Fingerprint guilty, const CrashRecord& proof, RelayActions& actions)
{
    const auto isExplained = [&](CrashId crash) { return std::find(proof.ownCrashes.begin(), proof.ownCrashes.end(), crash) != proof.ownCrashes.end(); };
    std::erase_if(m_records, [&](const auto& it) {
        const auto& record = it.second;
        if (it.first == guilty || record.standing != CrashStanding::Suspect || record.crashes > record.ownCrashes.size())
            return false;
        if (!std::all_of(record.ownCrashes.begin(), record.ownCrashes.end(), isExplained))
            return false;
        actions.push_back(AnnounceCrash { it.first, 0, Duration {}, {} });
        return true;
    });
}

void CrashTable::dismiss(CrashId crash, RelayActions& actions)
{
    std::erase_if(m_records, [&](const auto& it) {
        const auto& record = it.second;
        const auto isOnlyCrash = record.crashes == 1 && record.ownCrashes.size() == 1 && record.ownCrashes.front() == crash;
        if (!isOnlyCrash || record.standing == CrashStanding::Quarantined)
            return false;
        if (record.standing == CrashStanding::Suspect)
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
    if (it == m_records.end() || it->second.standing != CrashStanding::Suspect)
        return;
    it->second.standing = CrashStanding::Watched;
    it->second.isProbing = false;
    actions.push_back(AnnounceCrash { fingerprint, 0, Duration {}, {} });
}

void CrashTable::onProbeEnded(Fingerprint fingerprint)
{
    const auto it = m_records.find(fingerprint);
    if (it != m_records.end())
        it->second.isProbing = false;
}

void CrashTable::onNews(const AnnounceCrash& news, TimePoint now)
{
    if (news.crashes == 0) {
        const auto it = m_records.find(news.fingerprint);
        if (it != m_records.end() && it->second.standing == CrashStanding::Suspect)
            m_records.erase(it);
        return;
    }
    auto& record = recordOf(news.fingerprint, now);
    m_successes.forget(news.fingerprint);
    record.crashes = std::max(record.crashes, news.crashes);
    if (news.quarantine > Duration {}) {
        if (record.standing != CrashStanding::Quarantined)
            record.quarantinedAt = now;
        record.standing = CrashStanding::Quarantined;
        record.announcedAt = now;
        record.until = std::max(record.until, now + news.quarantine);
        return;
    }
    if (record.standing == CrashStanding::Quarantined)
        return;
    remember(record.crashedServers, news.place);
    record.standing = CrashStanding::Suspect;
    record.probeNotBefore = now + probeDelay;
    record.until = now + m_settings.quarantineTime;
}

bool CrashTable::isOurs(const CrashRecord& record) const
{
    const ServerName* first = nullptr;
    for (const auto& it : record.crashedServers) {
        if (it.server.value().empty())
            return false;
        if (m_servers.exists(it.server) && (!first || it.server < *first))
            first = &it.server;
    }
    // When all of them have left the catalog, the relay that saw the crash goes on.
    return first ? m_servers.owns(*first) : !record.ownCrashes.empty();
}

bool CrashTable::mayProbe(const CrashRecord& record, const CrashLocation& place, TimePoint now) const
{
    if (record.isProbing || now < record.probeNotBefore || !isOurs(record))
        return false;
    return std::all_of(record.crashedServers.begin(), record.crashedServers.end(), [&](const auto& it) { return it.server == place.server || it.shard != place.shard || !m_servers.exists(it.server); });
}

CrashRuling CrashTable::rule(Fingerprint fingerprint, const CrashLocation& place, TimePoint now, RelayActions& actions)
{
    if (m_records.empty())
        return CrashRuling::Run;
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return CrashRuling::Run;
    auto& record = it->second;
    if (record.until <= now) {
        m_records.erase(it);
        return CrashRuling::Run;
    }
    switch (record.standing) {
    case CrashStanding::Watched:
        return CrashRuling::Run;
    case CrashStanding::Quarantined:
        extendQuarantine(fingerprint, record, now, actions);
        return CrashRuling::Refuse;
    case CrashStanding::Suspect:
        break;
    }
    if (!mayProbe(record, place, now))
        return CrashRuling::Refuse;
    record.isProbing = true;
    return CrashRuling::RunAsProbe;
}

bool CrashTable::isBarred(Fingerprint fingerprint, TimePoint now) const
{
    if (m_records.empty())
        return false;
    const auto it = m_records.find(fingerprint);
    return it != m_records.end() && it->second.until > now && it->second.standing != CrashStanding::Watched;
}

}
