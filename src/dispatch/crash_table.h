#pragma once

#include "dispatch/crash_record.h"
#include "dispatch/recent_successes.h"
#include "dispatch/relay_action.h"
#include "dispatch/relay_settings.h"
#include "dispatch/server_directory.h"

#include <cstddef>
#include <unordered_map>

namespace lycheefield {

/// Whether and how a leg of some content may run.
enum class ContentAdmission : std::uint8_t {
    Run,
    RunAsProbe, ///< Alone at the server; the caller reports the end by onProbeEnded, onCrash or onSuccess.
    Refuse,
};

/// The evidence against contents that were running when servers crashed.
///
/// A server may run several requests when it crashes, so one crash only makes their contents
/// suspect, except contents that servers answered recently. Suspect content is run by one relay
/// only, the owner of the crashed server whose name sorts first. That relay runs the content as a
/// probe: alone at one server at a time, and never at another replica of a shard where the content
/// crashed a server. A crash during a probe is proof: the content is quarantined, and suspect
/// contents whose crashes are all explained by that content are cleared. A quarantine is extended
/// while callers still send the content, up to a limit. Memory is bounded. Not thread safe.
class CrashTable {
public:
    static constexpr std::size_t maxRecords = 1024;

    CrashTable(const RelaySettings& settings, const ServerDirectory& servers)
        : m_settings(settings)
        , m_servers(servers)
    {
    }

    /// Records that a connection to the server broke while this content ran there.
    void onCrash(Fingerprint, const CrashLocation&, CrashId, bool wasProbe, TimePoint, RelayActions&);
    /// Withdraws the evidence of a crash: the server kept running, and only a connection broke.
    void retractCrash(CrashId, RelayActions&);
    /// Records that a server answered the content.
    void onSuccess(Fingerprint, TimePoint, RelayActions&);
    /// Records that a probe ended without proof for or against the content.
    void onProbeEnded(Fingerprint);
    /// Applies an announcement of another relay or engine.
    void onAnnouncement(const AnnounceCrash&, TimePoint);

    /// Decides whether and how a leg of the content may run at the location. RunAsProbe reserves the probe.
    ContentAdmission admit(Fingerprint, const CrashLocation&, TimePoint, RelayActions&);
    /// True when the content is suspect or quarantined: a leg admitted earlier must not be sent any more.
    bool isBlocked(Fingerprint, TimePoint) const;

    std::size_t size() const { return m_records.size(); }

private:
    using Records = std::unordered_map<Fingerprint, CrashRecord>;

    CrashRecord& recordOf(Fingerprint, TimePoint);
    /// Removes all expired records, and one more when the table is still full.
    void evictRecords(TimePoint);
    bool mayProbe(const CrashRecord&, const CrashLocation&, TimePoint) const;
    /// True when this relay is the one that probes the content.
    bool isProbeOwner(const CrashRecord&) const;
    void suspect(Fingerprint, CrashRecord&, const CrashLocation&, TimePoint, RelayActions&);
    void quarantine(Fingerprint, CrashRecord&, const CrashLocation&, TimePoint, RelayActions&);
    void extendQuarantine(Fingerprint, CrashRecord&, TimePoint, RelayActions&);
    void clearContentsExplainedBy(Fingerprint, const CrashRecord&, RelayActions&);

    const RelaySettings& m_settings;
    const ServerDirectory& m_servers;
    Records m_records;
    RecentSuccesses m_successes;
};

}
