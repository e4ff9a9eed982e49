#pragma once

#include "catalog/shard_map.h"
#include "query/content_standing.h"
#include "query/crash_news.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// How much evidence makes content suspect or quarantined, and how long it is kept. Immutable.
struct CrashPolicy {
    std::uint32_t minSuspectCrashes = 1; ///< Separate crashes from which content is suspect.
    std::uint32_t minSuspectServers = 1; ///< Servers that crashed, separately or at once, from which content is suspect.
    bool needsConfirmation = false; ///< Whether a crash counts towards a quarantine only after confirmCrashes().
    Duration retention = std::chrono::minutes(5); ///< Time after the last crash for which evidence is kept and content is quarantined.

    friend bool operator==(const CrashPolicy&, const CrashPolicy&) = default;
};

/// An attempt whose server crashed while it may have run the content.
struct CrashedAttempt {
    ServerName server;
    ServiceName service; ///< Empty when unknown.
    std::uint64_t sequence = 0; ///< From CrashEvidence::nextSequence(), taken when the attempt was sent.
    bool wasProbe = false; ///< Whether the content ran as a probe, with no other attempt of its request in flight.
    bool isSearchLeg = false;
    bool isUnserved = false; ///< Whether the attempt's leg has ended without being served.
};

/// A crash on record that is now known to be one.
struct ConfirmedCrash {
    Fingerprint content;
    ServiceName service;
    bool isSearchLeg = false;
    bool startsQuarantine = false;
    bool isUnserved = false; ///< See CrashEvidence::recordUnserved().

    friend bool operator==(const ConfirmedCrash&, const ConfirmedCrash&) = default;
};

/// What a success of content has changed.
enum class SuccessEffect : std::uint8_t {
    None, ///< No crash in the service was on record.
    ServiceCleared, ///< The crashes in the service are not held against the content any more.
    ContentCleared, ///< No crash is left on record.
};

/// Evidence against contents that ran when servers crashed, from this instance's own attempts and from
/// announcements of others.
///
/// Servers that crash by themselves take down whatever they run, often several at the same moment. So only
/// an attempt that was sent after the last separate crash of the same content is evidence of another one.
/// Suspect content runs as a probe, one attempt at a time. A crash during a probe, or the third separate
/// crash, quarantines the content. A broken connection may have another cause than a crash, so the owner can check whether the
/// server still runs before a crash counts towards a quarantine.
///
/// Content that crashes every server that runs it is never served again. So content that was served after its first crash, as
/// popular content is while servers crash by themselves, is judged by its crashes in one service only, and a crash during a
/// probe alone proves nothing against it. A success counts for the service that served: another service may crash all the same.
/// The number of records is bounded. Not thread safe.
class CrashEvidence {
public:
    static constexpr std::size_t maxRecords = 2048;
    /// Suspect contents in announcements(), besides the quarantined ones.
    static constexpr std::size_t maxAnnouncedSuspects = 32;

    explicit CrashEvidence(const CrashPolicy& policy = {})
        : m_policy(policy)
    {
    }

    /// Returns the place of an attempt that is sent now in the order of all attempts of this instance.
    std::uint64_t nextSequence() { return ++m_lastSequence; }
    ContentStanding standingOf(Fingerprint, TimePoint) const;
    /// Returns the remaining quarantine time of the content; zero when the content is not quarantined.
    Duration remainingQuarantine(Fingerprint, TimePoint) const;
    /// Returns the number of separate crashes of the content.
    std::uint32_t crashesOf(Fingerprint, TimePoint) const;
    /// Records that a server crashed while it ran an attempt of the content.
    void recordCrash(Fingerprint, const CrashedAttempt&, TimePoint);
    /// Confirms all unconfirmed crashes of the server, which does not run any more.
    std::vector<ConfirmedCrash> confirmCrashes(const ServerName&, TimePoint);
    /// Withdraws all unconfirmed crashes of the server, which still runs: only connections had broken. Returns whether there were any.
    bool withdrawCrashes(const ServerName&);
    /// Records that a leg of the content for the service ended without being served. Returns a server of the service
    /// that has crashed with certainty and whose crash was not known to be unserved; nullopt when there is none.
    std::optional<ServerName> recordUnserved(Fingerprint, const ServiceName&, TimePoint);
    /// Returns whether a crash of the content is unconfirmed.
    bool hasUnconfirmed(Fingerprint, TimePoint) const;
    /// Records what another instance announced about content that crashed a server.
    void recordCrashNews(const CrashNews&, TimePoint);
    /// Records that the server answered an attempt sent at sentAt: a server that crashed before then is back.
    void recordAnswer(const ServerName&, TimePoint sentAt);
    /// Records that a server of the service served the content: its crashes in that service had another cause, and a quarantine
    /// that a crash in that service started ends.
    SuccessEffect recordServed(Fingerprint, const ServiceName&, TimePoint);

    /// Returns false when the content crashed another replica of the shard that has not answered since.
    bool mayRunOn(Fingerprint, const Shard&, const ServerName&, TimePoint) const;
    /// Returns the first crashed server by name, whose relay runs the probe; null when none is known.
    const ServerName* probeServer(Fingerprint, TimePoint) const;
    /// Returns whether a server of the service crashed while it ran the content.
    bool hasCrashedIn(Fingerprint, const ServiceName&, TimePoint) const;
    /// Returns the time of the last crash of a server that ran the content and has not answered since; nullopt when there is none.
    std::optional<TimePoint> lastCrashOf(Fingerprint, TimePoint) const;
    /// Returns the servers that crashed while they ran the content and have not answered since.
    std::set<ServerName> crashedServersOf(Fingerprint, TimePoint) const;
    /// Returns announcements of all quarantined contents, and of the suspect ones that crashed a server last, for an instance
    /// that may know none.
    std::vector<CrashNews> announcements(TimePoint) const;
    bool isEmpty() const { return m_records.empty(); }

private:
    /// The crashes of one server.
    struct ServerCrashes {
        ServiceName service;
        TimePoint lastAt {};
        std::uint32_t count = 0;
        std::uint32_t unconfirmed = 0; ///< How many of them.
        std::uint32_t announced = 0; ///< How many of them another instance observed.
        bool wasProbe = false; ///< Whether the content ran as a probe at the last one.
        bool isSearchLeg = false;
        bool isUnserved = false; ///< No replica has served the leg since.
    };
    struct Record {
        std::uint32_t crashes = 0; ///< Separate crashes.
        std::uint32_t announcedCrashes = 0; ///< Separate crashes that other instances observed.
        std::uint64_t lastSequence = 0; ///< The last attempt that was sent before the last separate crash.
        TimePoint expiresAt {};
        TimePoint quarantinedUntil {};
        ServiceName quarantineService; ///< The service of the crash that started the quarantine; empty when unknown.
        bool wasServed = false; ///< A server has served the content since its first crash on record.
        std::map<ServerName, ServerCrashes> crashedServers; ///< The servers that have not answered since their crash.
    };

    const Record* find(Fingerprint, TimePoint) const;
    Record& recordOf(Fingerprint, TimePoint);
    /// Numbers of crashes from which the standing of content follows.
    struct CrashCount {
        std::uint32_t crashes = 0; ///< Separate ones.
        std::uint32_t confirmed = 0; ///< Also those that happened at one moment.
        std::size_t servers = 0;
    };
    /// Counts all crashes on record or, for content that was served since, those in the service that has most.
    static CrashCount countCrashes(const Record&);
    ContentStanding standingOf(const Record&, TimePoint) const;
    /// Removes all expired records and, when there are still too many, the least important ones.
    void evict(TimePoint);
    static void addCrash(Record&, const CrashedAttempt&, TimePoint);
    void confirm(Record&, ServerCrashes&, TimePoint) const;
    /// Removes the content's crashes in the service, and a quarantine that one of them started.
    SuccessEffect clearService(Fingerprint, const ServiceName&);
    /// Lowers the number of separate crashes to what the servers on record and the announcements account for. Returns whether none is left.
    static bool removeUnaccounted(Record&);

    CrashPolicy m_policy;
    std::uint64_t m_lastSequence = 0;
    std::unordered_map<Fingerprint, Record> m_records;
};

}
