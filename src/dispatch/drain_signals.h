#pragma once

#include "base/time.h"

namespace lycheefield {

/// The signals that a server accepts no new work. One signal suffices; each kind is withdrawn in its
/// own way. Not thread safe.
class DrainSignals {
public:
    /// Sets whether the catalog lists the server as leaving.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    /// Records a response with the drain mark.
    void onDrainingResponse(TimePoint now) { m_markedAt = now; }
    /// Records that another relay, or this one in an earlier role, saw at that time that the server
    /// drains; `never` withdraws the announcement.
    void onAnnouncement(TimePoint seenAt) { m_announcedAt = seenAt; }
    /// Records that the server refuses connections and none is open.
    void onUnreachable() { m_isUnreachable = true; }
    /// Records an opened connection. After onUnreachable() a new server process has accepted the
    /// connection, so all signals about the previous process are withdrawn; only the catalog's stays.
    void onConnected();
    /// Records whether the server's health report says that the server drains. Reports lag behind, so a
    /// report of a server that does not drain withdraws a response's drain mark only when the mark is
    /// older than the maximum lag.
    void onHealth(bool isDraining, TimePoint);

    /// Withdraws drain marks and announcements that have not been confirmed within their lifetime.
    void onTimer(TimePoint);
    /// Returns when onTimer() withdraws the next signal; `never` when none expires.
    TimePoint nextExpiry() const;

    bool isLeaving() const { return m_isLeaving; }
    bool isUnreachable() const { return m_isUnreachable; }
    /// True when the health report is the only signal.
    bool isByHealthReportOnly() const { return m_isDrainingByHealth && !m_isLeaving && !m_isUnreachable && m_markedAt == never && m_announcedAt == never; }
    bool any() const { return m_isLeaving || m_isUnreachable || m_isDrainingByHealth || m_markedAt != never || m_announcedAt != never; }

private:
    bool m_isLeaving = false;
    bool m_isUnreachable = false;
    bool m_isDrainingByHealth = false;
    TimePoint m_markedAt = never;
    TimePoint m_announcedAt = never;
};

}
