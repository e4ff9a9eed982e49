#include "forward/crash_quarantine.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::size_t felledForQuarantine = 3;
constexpr Duration quarantine = std::chrono::seconds(30);
/// What is known against a content is forgotten after this time without another crash.
constexpr Duration memory = std::chrono::minutes(2);
constexpr std::size_t mostRecords = 256;

}

void CrashQuarantine::makeRoom(TimePoint now)
{
    std::erase_if(m_records, [&](const auto& entry) { return now - entry.second.lastAt > memory; });
    if (m_records.size() < mostRecords)
        return;
    const auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) { return a.second.lastAt < b.second.lastAt; });
    m_records.erase(oldest);
}

bool CrashQuarantine::recordCrash(Fingerprint content, const ServerName& server, TimePoint now)
{
    if (!m_records.contains(content))
        makeRoom(now);
    auto& record = m_records[content];
    record.lastAt = now;
    return record.crashedServers.insert(server).second;
}

void CrashQuarantine::noteServed(Fingerprint content)
{
    m_records.erase(content);
}

Duration CrashQuarantine::left(Fingerprint content, TimePoint now) const
{
    const auto it = m_records.find(content);
    if (it == m_records.end() || it->second.crashedServers.size() < felledForQuarantine)
        return {};
    return std::max(Duration {}, Duration(it->second.lastAt + quarantine - now));
}

}
