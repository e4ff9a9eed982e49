#pragma once

#include "base/time.h"
#include "platform/backoff.h"

namespace lycheefield {

struct WatchBatch;

/// Decides when a watcher repeats a call that failed. Only a failure of the store counts: after a call of which nothing was sent the watcher
/// is where it was before, and the repeat costs the store nothing. Not thread safe.
class CallRetry {
public:
    explicit CallRetry(Backoff);

    /// Returns the pause before the next call. storePause: the shortest one after several failures of the store in a row.
    Duration onFailure(const WatchBatch& failed, Duration storePause);
    void onSuccess();
    /// Returns whether a call has failed since the last success, for whatever cause.
    bool hasFailed() const { return m_hasFailed; }
    /// Returns whether more calls in a row have failed at the store than a lost packet explains.
    bool isFailing() const;

private:
    Backoff m_backoff;
    bool m_hasFailed = false;
};

}
