#pragma once

#include "forward/server_entry.h"

#include <map>
#include <vector>

namespace lycheefield {

/// The servers that may get work, from the platform's list and its changes.
///
/// A server that vanishes while the store is away, or just after, may only have been unable to
/// renew its entry. It stays for returnGrace after the store is back, and is dropped unless its
/// entry came back. At any other time a server that vanishes is dropped at once.
/// It does no I/O. Not thread safe.
class ServerRegistry {
public:
    /// Servers that live and reach the store are listed again by then.
    static constexpr Duration returnGrace = std::chrono::milliseconds(2200);

    /// The whole list, as the store had it. True when the servers changed.
    bool replaceAll(const std::vector<ServerEntry>&, TimePoint);
    /// One entry that is new or changed; a report older than what is known of the server is dropped.
    /// True when the servers changed.
    bool put(const ServerEntry&, TimePoint);
    /// An entry that is gone, or that names no usable server any more. True when the servers changed.
    bool remove(const ServerName&, TimePoint);

    /// A call to the store failed.
    void recordStoreUnreachable();
    /// A call to the store succeeded.
    void recordStoreReachable(TimePoint);
    /// Drops what was kept for long enough. True when the servers changed.
    bool expire(TimePoint);
    /// When expire must run next; `never` when nothing is kept beyond its entry.
    TimePoint nextExpiry() const;

    const std::map<ServerName, ServerEntry>& servers() const { return m_servers; }

private:
    bool isStoreSettled(TimePoint now) const { return !m_isStoreLost && now >= m_graceUntil; }

    void rememberGone(const ServerEntry&);

    /// Entries of servers that are gone, so that a report which arrives late does not bring one back.
    static constexpr std::size_t mostGone = 4096;

    std::map<ServerName, ServerEntry> m_gone;
    std::map<ServerName, ServerEntry> m_servers;
    std::map<ServerName, TimePoint> m_missing; ///< Without an entry, but still in m_servers; until when.
    bool m_isStoreLost = false;
    TimePoint m_graceUntil {};
};

}
