#pragma once

#include "catalog/shard_map.h"
#include "query/content_standing.h"
#include "query/crash_news.h"

#include <cstddef>
#include <map>
#include <unordered_map>

namespace lycheefield {

/// Evidence against contents that ran when servers crashed, from this entry's own legs and from
/// the relays' announcements. The number of records is bounded. Not thread safe.
class CrashEvidence {
public:
    static constexpr std::size_t maxRecords = 256;
    /// How long evidence is kept and content is quarantined.
    static constexpr Duration retention = std::chrono::minutes(5);

    ContentStanding standingOf(Fingerprint, TimePoint) const;
    /// Returns the remaining quarantine time of the content; zero when the content is not quarantined.
    Duration remainingQuarantine(Fingerprint, TimePoint) const;
    /// Records that a server crashed while it ran a leg of the content. Crashes close together count as one.
    void recordCrash(Fingerprint, const ServerName&, bool wasProbe, TimePoint);
    /// Records what a relay announced about content that crashed a server.
    void recordCrashNews(const CrashNews&, TimePoint);
    /// Records that the server answered an attempt sent at sentAt: a server that crashed before then is back.
    void recordAnswer(const ServerName&, TimePoint sentAt);

    /// Returns false when the content crashed another replica of the shard that has not answered since.
    bool mayRunOn(Fingerprint, const Shard&, const ServerName&, TimePoint) const;
    /// Returns the first crashed server by name, whose relay runs the probe; null when none is known.
    const ServerName* probeServer(Fingerprint, TimePoint) const;
    bool isEmpty() const { return m_records.empty(); }

private:
    struct Record {
        std::uint32_t crashes = 0;
        TimePoint lastCrash {};
        TimePoint expiresAt {};
        TimePoint quarantinedUntil {};
        std::map<ServerName, TimePoint> crashedServers; ///< Time of the crash, for each server that has not answered since.
    };

    const Record* find(Fingerprint, TimePoint) const;
    Record& recordOf(Fingerprint, TimePoint);
    void evict(TimePoint);

    std::unordered_map<Fingerprint, Record> m_records;
};

}
