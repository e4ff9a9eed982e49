#pragma once

#include "base/time.h"

namespace lycheefield {

/// The signals that a server accepts no new work. One signal suffices; each kind is withdrawn in its
/// own way. Not thread safe.
class DrainSignals {
public:
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    void onDrainingResponse(TimePoint now) { m_markedAt = now; }
    /// Records that another relay, or this one in an earlier role, saw at that time that the server
    /// drains; `never` withdraws the announcement.
    void onAnnouncement(TimePoint seenAt) { m_announcedAt = seenAt; }
    /// Records that the server refuses connections and none is open.
    void onUnreachable() { m_isUnreachable = true; }
    /// Records an opened connection. After an outage a new server process accepts it, so the drain marks
    /// of the previous process are withdrawn.
    void onConnected();
    /// Records the server's own report. Reports lag behind, so a report withdraws the drain mark of a
    /// response only when the mark is older than the lag.
    void onHealth(bool isDraining, TimePoint);

    /// Withdraws drain marks and announcements that have not been confirmed within their lifetime.
    void onTimer(TimePoint);
    /// When onTimer() withdraws the next signal; `never` when none expires.
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
