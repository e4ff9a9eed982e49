#pragma once

#include "base/time.h"

namespace lycheefield {

/// Token bucket: limits events to an average rate with bounded bursts. Not thread safe.
class TokenBucket {
public:
    /// The bucket starts full. `perSecond` is the refill rate in tokens per second, `burst` the capacity in tokens.
    /// Precondition: perSecond > 0 and burst >= 1; with a smaller burst no token could ever be taken.
    TokenBucket(double perSecond, double burst);

    /// Takes one token. Returns false, and takes none, when the bucket has fewer than `minTokens`.
    /// Preconditions: minTokens >= 1, and the time is not before that of an earlier call.
    bool take(TimePoint, double minTokens = 1);
    double burst() const { return m_burst; }

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_lastRefill {};
};

}
