#pragma once

#include "forward/server_entry.h"

#include <map>
#include <vector>

namespace lycheefield {

/// The servers that may get work, according to the platform's list and its changes.
///
/// A server whose entry disappears while the store is unreachable, or shortly afterwards, may only
/// have been unable to renew the entry. Such a server is kept until returnGrace after the store is
/// reachable again, and then removed unless its entry has reappeared. At any other time a server is
/// removed as soon as its entry disappears.
/// Performs no I/O. Not thread safe.
class ServerRegistry {
public:
    /// Time within which a running server renews its entry once the store is reachable again.
    static constexpr Duration returnGrace = std::chrono::milliseconds(2200);

    /// renewalPeriod: the period in which servers renew their entries, which expire after several missed renewals. In an
    /// outage that is shorter a server misses one renewal at most, and no entry expires.
    explicit ServerRegistry(Duration renewalPeriod);

    /// Replaces all entries by the store's list. Returns true if the servers changed.
    bool replaceAll(const std::vector<ServerEntry>&, TimePoint);
    /// Replaces all entries by the first list since the store came back from an older copy. Servers that are missing from it are kept for returnGrace. A
    /// removed server that the copy lists gets no work until its entry is renewed, or is still listed when the store would have removed that of a
    /// server that has ended. Returns true if the servers changed.
    bool replaceAllOfNewEpoch(const std::vector<ServerEntry>&, TimePoint);
    /// Adds or updates one entry, unless the known entry is more recent. Returns true if the servers
    /// changed.
    bool put(const ServerEntry&);
    /// Handles an entry that was deleted or that no longer names a usable server. Returns true if the
    /// servers changed.
    bool remove(const ServerName&, TimePoint);

    /// Records that a call to the store failed.
    void recordStoreUnreachable(TimePoint);
    /// Records that a call to the store succeeded. After an outage that was too short for entries to expire there is no
    /// grace period.
    void recordStoreReachable(TimePoint);
    /// Removes servers whose grace period has ended. Returns true if the servers changed.
    bool expire(TimePoint);
    /// Returns when expire must run next; `never` when no grace period has an end.
    TimePoint nextExpiry() const;

    const std::map<ServerName, ServerEntry>& servers() const { return m_servers; }
    /// Servers that are kept without an entry.
    std::size_t missing() const { return m_missing.size(); }
    /// Removed servers that an older copy of the store lists.
    std::size_t heldBack() const { return m_heldBack.size(); }

private:
    bool isStoreSettled(TimePoint now) const { return !m_isStoreUnreachable && now >= m_graceUntil; }

    void rememberRemoved(const ServerEntry&);
    /// Keeps the missing servers until that time at least.
    void extendGrace(TimePoint until);
    /// Holds a removed server back whose process an older copy of the store lists. The entry of an earlier process shows no living one.
    void holdBackIfRemoved(const ServerEntry&, TimePoint);
    /// Moves the ends of the servers held back after an outage: a short one adds itself, after a longer one the period begins again.
    void extendHeldBack(bool wasShort, TimePoint);
    /// Takes the servers held back that are still listed at the end of their time. Returns true if the servers changed.
    bool takeHeldBack(TimePoint);
    /// The time in which the store removes the entry of a server that has ended, and tells it here.
    Duration heldBackPeriod() const { return missedRenewals * m_renewalPeriod + returnGrace; }

    /// The store removes an entry that misses this many renewals.
    static constexpr int missedRenewals = 3;
    /// Outages begin the period of a server held back again until it has lasted this many periods without them.
    static constexpr int maxHeldBackPeriods = 3;

    /// A removed server that an older copy of the store lists.
    struct HeldBack {
        ServerEntry last; ///< The latest one that is known.
        TimePoint since; ///< When the copy was read.
        TimePoint until; ///< Then an entry that is still listed is that of a living server. Outages move it.
        TimePoint latest; ///< The latest `until`. Outages move it by themselves only.
    };

    /// Removed servers whose last entries are remembered, so that a late report does not restore a removed server.
    static constexpr std::size_t maxRemoved = 4096;

    Duration m_renewalPeriod;
    std::map<ServerName, ServerEntry> m_removed;
    std::map<ServerName, ServerEntry> m_servers;
    std::map<ServerName, TimePoint> m_missing; ///< Ends of the grace periods of servers without an entry, which are still in m_servers.
    std::map<ServerName, HeldBack> m_heldBack;
    bool m_isStoreUnreachable = false;
    TimePoint m_unreachableSince {};
    TimePoint m_graceUntil {};
};

}
