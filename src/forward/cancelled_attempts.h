#pragma once

#include "forward/server_pool.h"
#include "query/crash_evidence.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace lycheefield {

/// A cancelled attempt whose server may still crash because of it.
struct CancelledAttempt {
    TrackedServerPtr server;
    Fingerprint content;
    CrashedAttempt crash; ///< What is recorded if the server has crashed.
    TimePoint checkAt {}; ///< When the server is checked.
    bool isCheckDue = false;
};

/// Remembers the attempts that were cancelled a moment ago. Their connections are closed, so a crash of their servers is
/// not seen as a broken connection; the servers are checked instead. Bounded: the oldest attempts are dropped first.
/// Not thread safe.
class CancelledAttempts {
public:
    static constexpr std::size_t maxAttempts = 4096;
    /// From the cancellation to the check of the server. Some servers end their work only when they notice the closed connection.
    static constexpr Duration checkDelay = std::chrono::milliseconds(400);

    void add(TrackedServerPtr, Fingerprint, const CrashedAttempt&, TimePoint now);
    /// Returns when the next server is to be checked; `never` when none is.
    TimePoint nextCheck() const;
    /// Returns the servers whose checks have become due.
    std::vector<TrackedServerPtr> takeDueChecks(TimePoint now);
    /// Forgets the attempts whose check was due, as their server still runs.
    void forgetChecked(const ServerName&);
    /// Removes and returns all attempts of a server that does not run any more.
    std::vector<CancelledAttempt> take(const ServerName&);
    std::size_t size() const { return m_attempts.size(); }

private:
    std::deque<CancelledAttempt> m_attempts; ///< In the order of their checks.
};

}
