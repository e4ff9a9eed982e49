#pragma once

#include "base/time.h"

namespace lycheefield {

/// The signs that a server takes no new work. Any one is enough; each is withdrawn in its own way.
/// Not thread safe.
class DrainSigns {
public:
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    void onDrainingAnswer(TimePoint now) { m_answeredAt = now; }
    /// Another relay, or this one in an earlier role, saw at that time that the server drains;
    /// `never` withdraws it.
    void onNews(TimePoint seenAt) { m_newsAt = seenAt; }
    /// Connections are refused and none is open.
    void onUnreachable() { m_isUnreachable = true; }
    /// A connection was opened. After an outage a new process answers: its predecessor's mark is void.
    void onConnected();
    /// The server's own report, which lags: it withdraws the mark of an answer only long after it.
    void onHealth(bool isDraining, TimePoint);

    /// Withdraws marks and news that nothing has confirmed for long.
    void onTime(TimePoint);
    /// When onTime() withdraws one; `never` when there is none.
    TimePoint lapsesAt() const;

    bool isLeaving() const { return m_isLeaving; }
    bool isUnreachable() const { return m_isUnreachable; }
    /// True when the only sign is the health report.
    bool isHealthOnly() const { return m_isDrainingByHealth && !m_isLeaving && !m_isUnreachable && m_answeredAt == never && m_newsAt == never; }
    bool any() const { return m_isLeaving || m_isUnreachable || m_isDrainingByHealth || m_answeredAt != never || m_newsAt != never; }

private:
    bool m_isLeaving = false;
    bool m_isUnreachable = false;
    bool m_isDrainingByHealth = false;
    TimePoint m_answeredAt = never;
    TimePoint m_newsAt = never;
};

}
