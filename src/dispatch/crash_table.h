#pragma once

#include "dispatch/crash_record.h"
#include "dispatch/recent_successes.h"
#include "dispatch/relay_action.h"
#include "dispatch/relay_settings.h"
#include "dispatch/server_directory.h"

#include <cstddef>
#include <unordered_map>

namespace lycheefield {

enum class CrashRuling : std::uint8_t {
    Run,
    RunAsProbe, ///< Alone at the server; report the end by onProbeEnded, onCrash or onSuccess.
    Refuse,
};

/// Evidence against contents that were running when servers crashed.
///
/// Two requests may run at a server that dies, so one crash only casts suspicion, and not on content
/// that servers answered lately. Suspected content is run by one relay only, the owner of the first
/// felled server by name, alone at one server at a time, and never at another replica of a shard that
/// it felled. A crash of such a probe is proof: the content is quarantined, and content whose only
/// evidence was to run beside it is cleared. A quarantine lasts as long as the content is still
/// sent, up to a limit. Memory is bounded. Not thread safe.
class CrashTable {
public:
    static constexpr std::size_t maxRecords = 1024;

    CrashTable(const RelaySettings& settings, const ServerDirectory& servers)
        : m_settings(settings)
        , m_servers(servers)
    {
    }

    /// The server's connections died while this content ran there.
    void onCrash(Fingerprint, const CrashLocation&, CrashId, bool wasProbe, TimePoint, RelayActions&);
    /// The server of this crash was found alive all along: what died was a connection.
    void dismiss(CrashId, RelayActions&);
    /// A server answered the content.
    void onSuccess(Fingerprint, TimePoint, RelayActions&);
    /// A probe ended without proof either way.
    void onProbeEnded(Fingerprint);
    void onNews(const AnnounceCrash&, TimePoint);

    /// Whether and how a leg of the content may run at the place. RunAsProbe reserves the probe.
    CrashRuling rule(Fingerprint, const CrashLocation&, TimePoint, RelayActions&);
    /// True when a leg that was taken before must not be sent any more.
    bool isBarred(Fingerprint, TimePoint) const;

    std::size_t size() const { return m_records.size(); }

private:
    using Records = std::unordered_map<Fingerprint, CrashRecord>;

    CrashRecord& recordOf(Fingerprint, TimePoint);
    void makeRoom(TimePoint);
    bool mayProbe(const CrashRecord&, const CrashLocation&, TimePoint) const;
    bool isOurs(const CrashRecord&) const;
    void suspect(Fingerprint, CrashRecord&, const CrashLocation&, TimePoint, RelayActions&);
    void quarantine(Fingerprint, CrashRecord&, const CrashLocation&, TimePoint, RelayActions&);
    void extendQuarantine(Fingerprint, CrashRecord&, TimePoint, RelayActions&);
    void clearThoseExplainedBy(Fingerprint, const CrashRecord&, RelayActions&);

    const RelaySettings& m_settings;
    const ServerDirectory& m_servers;
    Records m_records;
    RecentSuccesses m_successes;
};

}
