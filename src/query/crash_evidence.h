#pragma once

#include "catalog/shard_map.h"
#include "query/content_standing.h"
#include "query/crash_news.h"

#include <cstddef>
#include <map>
#include <unordered_map>

namespace lycheefield {

/// What this entry knows against contents that ran when servers crashed: from its own legs and
/// from the relays' news. Memory is bounded. Not thread safe.
class CrashEvidence {
public:
    static constexpr std::size_t maxRecords = 256;
    /// Evidence is kept, and content quarantined, for this long.
    static constexpr Duration retention = std::chrono::minutes(5);

    ContentStanding standingOf(Fingerprint, TimePoint) const;
    /// How long the content is still refused; zero when it is not quarantined.
    Duration quarantineLeft(Fingerprint, TimePoint) const;
    /// A leg of that content died with the server. Crashes close together count as one.
    void recordCrash(Fingerprint, const ServerName&, bool wasProbe, TimePoint);
    void recordCrashNews(const CrashNews&, TimePoint);
    /// A server that crashed answers again.
    void recordAnswer(const ServerName&, TimePoint sentAt);

    /// False when the content felled another replica of that shard which is not known to be back.
    bool mayRunOn(Fingerprint, const Shard&, const ServerName&, TimePoint) const;
    /// The first felled server by name, whose relay runs the probe; null when none is known.
    const ServerName* probeServer(Fingerprint, TimePoint) const;
    bool isEmpty() const { return m_records.empty(); }

private:
    struct Record {
        std::uint32_t crashes = 0;
        TimePoint lastCrash {};
        TimePoint expiresAt {};
        TimePoint quarantinedUntil {};
        std::map<ServerName, TimePoint> crashedServers; ///< Servers not known to be back, and when they crashed.
    };

    const Record* find(Fingerprint, TimePoint) const;
    Record& recordOf(Fingerprint, TimePoint);
    void evict(TimePoint);

    std::unordered_map<Fingerprint, Record> m_records;
};

}
