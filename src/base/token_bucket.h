#pragma once

#include "base/time.h"

namespace lycheefield {

/// Token bucket: limits events to an average rate with bounded bursts. Not thread safe.
class TokenBucket {
public:
    /// The bucket starts full. Precondition: both values are positive.
    TokenBucket(double perSecond, double burst);

    /// Takes one token. Returns false, and takes none, when the bucket has fewer than `minTokens`. Precondition: minTokens >= 1.
    bool take(TimePoint, double minTokens = 1);
    double burst() const { return m_burst; }

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_lastRefill {};
};

}
