#pragma once

#include "base/time.h"

namespace lycheefield {

/// Limits what happens to a steady rate with short bursts. Not thread safe.
class TokenBucket {
public:
    /// The bucket starts full. Precondition: both values are positive.
    TokenBucket(double perSecond, double burst);

    /// Takes one; false, and nothing is taken, when fewer than the least are left. Precondition: the least is 1 or more.
    bool take(TimePoint, double least = 1);
    double burst() const { return m_burst; }

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_refilled {};
};

}
