#include "forward/crash_quarantine.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::size_t minCrashedServers = 3;
constexpr Duration quarantineTime = std::chrono::seconds(30);
/// The crashes of a content are forgotten when no further crash follows within this time.
constexpr Duration recordLifetime = std::chrono::minutes(2);
constexpr std::size_t maxRecords = 256;

}

void CrashQuarantine::evict(TimePoint now)
{
    std::erase_if(m_records, [&](const auto& entry) { return now - entry.second.lastAt > recordLifetime; });
    if (m_records.size() < maxRecords)
        return;
    const auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) { return a.second.lastAt < b.second.lastAt; });
    m_records.erase(oldest);
}

bool CrashQuarantine::recordCrash(Fingerprint content, const ServerName& server, TimePoint now)
{
    if (!m_records.contains(content))
        evict(now);
    auto& record = m_records[content];
    record.lastAt = now;
    return record.crashedServers.insert(server).second;
}

void CrashQuarantine::recordServed(Fingerprint content)
{
    m_records.erase(content);
}

Duration CrashQuarantine::remaining(Fingerprint content, TimePoint now) const
{
    const auto it = m_records.find(content);
    if (it == m_records.end() || it->second.crashedServers.size() < minCrashedServers)
        return {};
    return std::max(Duration {}, Duration(it->second.lastAt + quarantineTime - now));
}

}
